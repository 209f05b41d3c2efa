package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * Selects the observed weights that a state update contains. Callers choose the model names of
 * their requests, so there may be any number.
 *
 * <p>Invariant: what it selects fits into a datagram beside the rest of a state update; models that
 * an endpoint's entry names come first. Stateless and thread-safe.
 */
final class ObservedWeights {
    /** A quarter of the largest datagram. */
    private static final int MAXIMUM_BYTES = 16_384;

    private ObservedWeights() {}

    /**
     * @param endpoints the endpoints in use, by id
     * @param observed newer weights than those in the entries, by endpoint and model
     */
    static List<EndpointWeights> select(
            Map<String, EndpointEntry> endpoints, Map<String, Map<String, Long>> observed) {
        List<EndpointWeights> named = new ArrayList<>();
        List<EndpointWeights> others = new ArrayList<>();
        observed.forEach(
                (id, versions) -> {
                    EndpointEntry entry = endpoints.get(id);
                    versions.forEach(
                            (model, version) ->
                                    (entry.weights().containsKey(model) ? named : others)
                                            .add(encode(entry, model, version)));
                });
        named.addAll(others);
        return fitting(named);
    }

    private static List<EndpointWeights> fitting(List<EndpointWeights> weights) {
        List<EndpointWeights> fitting = new ArrayList<>();
        int bytes = 0;
        for (EndpointWeights next : weights) {
            bytes += next.getSerializedSize();
            if (bytes > MAXIMUM_BYTES) {
                break;
            }
            fitting.add(next);
        }
        return fitting;
    }

    private static EndpointWeights encode(EndpointEntry entry, String model, long version) {
        return EndpointWeights.newBuilder()
                .setEndpoint(entry.id())
                .setBornMillis(entry.bornMillis())
                .setModel(model)
                .setVersion(version)
                .build();
    }
}
