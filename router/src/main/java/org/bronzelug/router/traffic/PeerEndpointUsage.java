package org.bronzelug.router.traffic;

/**
 * The load that all other VMs together have put on an endpoint, as they last reported it.
 * Immutable.
 *
 * @param queuedPrefillTokens prompt tokens of requests whose first event has not arrived
 * @param requests number of requests whose response is not complete
 */
public record PeerEndpointUsage(int queuedPrefillTokens, int requests) {
    public static final PeerEndpointUsage NONE = new PeerEndpointUsage(0, 0);

    public PeerEndpointUsage plus(int tokens, int addedRequests) {
        return new PeerEndpointUsage(queuedPrefillTokens + tokens, requests + addedRequests);
    }
}
