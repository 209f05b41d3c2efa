package org.bronzelug.router.control;

import java.util.Collection;
import java.util.Optional;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.router.store.StoredItem;

/**
 * Reads the platform's objects into the router's types. An object that can't be read gives an empty
 * result and a log line, and the others hold. Implementations are stateless.
 */
public interface ObjectDecoder {
    /** The kind that holds the configuration. */
    String configurationKind();

    /** The kind that lists endpoints. */
    String endpointKind();

    /** The kind that names the newest weights. */
    String weightsKind();

    /** The configuration among the objects of its kind. */
    Optional<RoutingConfiguration> configuration(Collection<StoredItem> items);

    /** One endpoint. */
    Optional<EndpointEntry> endpoint(StoredItem item);

    /** The newest weights of one model. */
    Optional<AdvertisedWeights> weights(StoredItem item);

    /**
     * Weights that all runners are to have.
     *
     * @param model its name
     * @param version grows with each naming
     */
    record AdvertisedWeights(String model, long version) {}
}
