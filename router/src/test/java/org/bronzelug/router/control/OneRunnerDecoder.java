package org.bronzelug.router.control;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.EngineLimits;
import org.bronzelug.core.routing.IngressLimits;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.router.store.StoredItem;

/**
 * Decodes each object as a pool with one runner, which has version 1 of the model's weights.
 * Thread-safe.
 */
class OneRunnerDecoder extends OneModelDecoder {
    private final String model;

    OneRunnerDecoder(String model) {
        this.model = model;
    }

    @Override
    public Optional<RoutingConfiguration> configuration(Collection<StoredItem> items) {
        EngineLimits engine = new EngineLimits(8, 1_000, 1);
        return Optional.of(
                new RoutingConfiguration(
                        1,
                        IngressLimits.defaults(),
                        List.of(),
                        Map.of("pool", new EndpointPool("pool", 64, Optional.of(engine))),
                        List.of(),
                        List.of(),
                        Map.of()));
    }

    @Override
    public Optional<EndpointEntry> endpoint(StoredItem item) {
        return Optional.of(
                new EndpointEntry(
                        item.name(),
                        "pool",
                        "127.0.0.1:9",
                        "z",
                        "v1",
                        8,
                        false,
                        1,
                        Map.of(model, 1L)));
    }
}
