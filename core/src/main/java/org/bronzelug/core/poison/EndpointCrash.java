package org.bronzelug.core.poison;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The crash of one start of an endpoint, with the parts that may have caused it as far as one VM
 * knows. Immutable.
 *
 * @param start the start of the endpoint that has crashed
 * @param pool the pool of the endpoint
 * @param softwareVersion the software version of the endpoint
 * @param atNanos when it crashed, by the local monotonic clock
 * @param suspects the parts that may have caused it; may be empty
 * @param requests the requests that were in progress there; may be empty
 */
public record EndpointCrash(
        EndpointStart start,
        String pool,
        String softwareVersion,
        long atNanos,
        Map<PartKey, Involvement> suspects,
        Set<PartKey> requests) {
    public EndpointCrash {
        suspects = Map.copyOf(suspects);
        requests = Set.copyOf(requests);
    }

    /** Returns the parts that had just begun. */
    Set<PartKey> begunParts() {
        return suspects.entrySet().stream()
                .filter(suspect -> suspect.getValue() == Involvement.BEGUN)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    EndpointCrash withSuspects(Map<PartKey, Involvement> others) {
        return new EndpointCrash(start, pool, softwareVersion, atNanos, others, requests);
    }

    EndpointCrash withRequests(Set<PartKey> others) {
        return new EndpointCrash(start, pool, softwareVersion, atNanos, suspects, others);
    }
}
