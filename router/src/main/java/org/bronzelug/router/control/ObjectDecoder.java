package org.bronzelug.router.control;

import java.util.Collection;
import java.util.Optional;
import org.bronzelug.core.rollout.RolloutOrder;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.router.store.StoredItem;

/**
 * Decodes the platform's objects into the router's types. An object that can't be decoded gives an
 * empty result and a log line and does not affect the other objects. Implementations are stateless.
 */
public interface ObjectDecoder {
    /** Returns the kind that holds the configuration. */
    String configurationKind();

    /** Returns the kind that lists the endpoints. */
    String endpointKind();

    /** Returns the kind that holds the published target versions of weights. */
    String weightsKind();

    /** Returns the kind that holds orders of rollouts; empty if the installation has none. */
    Optional<String> rolloutKind();

    /** Decodes the configuration from the objects of its kind. */
    Optional<RoutingConfiguration> configuration(Collection<StoredItem> items);

    /** Decodes one endpoint. */
    Optional<EndpointEntry> endpoint(StoredItem item);

    /** Decodes the target version of one model's weights. */
    Optional<PublishedWeights> weights(StoredItem item);

    /** Decodes one order of a rollout. */
    Optional<RolloutOrder> rollout(StoredItem item);

    /** Encodes the status of a rollout. */
    byte[] rolloutStatus(RolloutStage stage, String target);

    /**
     * The published target version of a model's weights, which all its runners are to load.
     *
     * @param model the model's name
     * @param version increases with each publication
     */
    record PublishedWeights(String model, long version) {}
}
