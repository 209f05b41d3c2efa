package org.bronzelug.router.control;

import java.util.Collection;
import java.util.Optional;
import org.bronzelug.core.rollout.RolloutOrder;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.router.store.StoredItem;

/** Decodes the weights of one model only; their version is the object's revision. */
class OneModelDecoder implements ObjectDecoder {
    static final String WEIGHTS = "weights";

    @Override
    public String configurationKind() {
        return "configuration";
    }

    @Override
    public String endpointKind() {
        return "endpoints";
    }

    @Override
    public String weightsKind() {
        return WEIGHTS;
    }

    @Override
    public Optional<String> rolloutKind() {
        return Optional.empty();
    }

    @Override
    public Optional<RolloutOrder> rollout(StoredItem item) {
        return Optional.empty();
    }

    @Override
    public byte[] rolloutStatus(RolloutStage stage, String target) {
        throw new UnsupportedOperationException("there are no rollouts");
    }

    @Override
    public Optional<RoutingConfiguration> configuration(Collection<StoredItem> items) {
        return Optional.empty();
    }

    @Override
    public Optional<EndpointEntry> endpoint(StoredItem item) {
        return Optional.empty();
    }

    @Override
    public Optional<PublishedWeights> weights(StoredItem item) {
        return Optional.of(new PublishedWeights(item.name(), item.revision()));
    }
}
