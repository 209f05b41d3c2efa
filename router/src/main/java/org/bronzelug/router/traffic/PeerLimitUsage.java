package org.bronzelug.router.traffic;

import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;

/**
 * A peer's report of an endpoint's limit and of the peer's usage of it. Immutable.
 *
 * @param vm the peer
 * @param incarnation incarnation of the peer
 * @param endpoint id of the endpoint
 * @param bornMillis start time of the endpoint instance that advertised the limit
 * @param limit the limit that the endpoint advertised last, as far as the peer knows
 * @param seenNanos when the response with that limit arrived, by the local monotonic clock
 * @param usage the peer's requests that count against the limit
 */
public record PeerLimitUsage(
        String vm,
        String incarnation,
        String endpoint,
        long bornMillis,
        AdvertisedLimit limit,
        long seenNanos,
        EndpointLimit.Usage usage) {}
