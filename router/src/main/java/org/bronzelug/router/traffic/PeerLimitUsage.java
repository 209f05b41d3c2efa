package org.bronzelug.router.traffic;

import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;

/**
 * What a peer says of an endpoint's limit. Immutable.
 *
 * @param vm the peer
 * @param incarnation of the peer
 * @param endpoint id
 * @param bornMillis of the start of the endpoint that named the limit
 * @param limit that the endpoint named last, as the peer knows
 * @param seenNanos when the answer came that named it, by the local monotonic clock
 * @param count of the peer's requests
 */
public record PeerLimitUsage(
        String vm,
        String incarnation,
        String endpoint,
        long bornMillis,
        AdvertisedLimit limit,
        long seenNanos,
        EndpointLimit.Count count) {}
