package org.bronzelug.router.traffic;

/**
 * What all other VMs have under way at an endpoint, as last heard.
 *
 * @param queuedPrefillTokens of requests without a first event
 * @param requests without a whole answer
 */
public record PeerUse(int queuedPrefillTokens, int requests) {
    public static final PeerUse NONE = new PeerUse(0, 0);

    public PeerUse plus(int tokens, int more) {
        return new PeerUse(queuedPrefillTokens + tokens, requests + more);
    }
}
