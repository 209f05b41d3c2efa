package org.bronzelug.router.traffic;

/**
 * What all other VMs have under way at an endpoint, as last heard.
 *
 * @param queuedPrefillTokens of requests without a first event
 * @param requests without a whole answer
 */
public record PeerEndpointUsage(int queuedPrefillTokens, int requests) {
    public static final PeerEndpointUsage NONE = new PeerEndpointUsage(0, 0);

    public PeerEndpointUsage plus(int tokens, int more) {
        return new PeerEndpointUsage(queuedPrefillTokens + tokens, requests + more);
    }
}
