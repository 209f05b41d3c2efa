package org.bronzelug.core.routing;

import java.util.Map;

/**
 * What an endpoint says of itself in the platform's list. Immutable.
 *
 * @param id of this incarnation of the endpoint
 * @param pool that it serves
 * @param address IP:PORT
 * @param availabilityZone where it runs
 * @param slots requests that it serves at once
 * @param draining whether it leaves and takes no new work
 * @param bornMillis when it started: another start under the same id has another value
 * @param weights version of each model's weights, as of the entry's last change
 */
public record EndpointEntry(
        String id,
        String pool,
        String address,
        String availabilityZone,
        int slots,
        boolean draining,
        long bornMillis,
        Map<String, Long> weights) {
    public EndpointEntry {
        weights = Map.copyOf(weights);
    }

    /** Whether the other entry tells of the same start of the same endpoint. */
    public boolean isSameStart(EndpointEntry other) {
        return bornMillis == other.bornMillis && address.equals(other.address);
    }
}
