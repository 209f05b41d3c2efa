package org.bronzelug.router.traffic;

import org.bronzelug.core.capacity.SpeedReports;

/**
 * The load that all other VMs together have put on an endpoint, as they last reported it.
 * Immutable.
 *
 * @param queuedPrefillTokens prompt tokens of requests whose first event has not arrived
 * @param requests number of requests whose response is not complete
 * @param speeds the speeds of the endpoint that the other VMs have measured
 */
public record PeerEndpointUsage(int queuedPrefillTokens, int requests, SpeedReports speeds) {
    public static final PeerEndpointUsage NONE = new PeerEndpointUsage(0, 0);

    /** Usage by VMs that have not measured the endpoint's speed. */
    public PeerEndpointUsage(int queuedPrefillTokens, int requests) {
        this(queuedPrefillTokens, requests, SpeedReports.NONE);
    }

    /** Returns the sum of both. */
    public PeerEndpointUsage plus(PeerEndpointUsage other) {
        return new PeerEndpointUsage(
                queuedPrefillTokens + other.queuedPrefillTokens,
                requests + other.requests,
                speeds.plus(other.speeds));
    }
}
