package org.bronzelug.core.limit;

/**
 * What a peer says of one team's bucket. Immutable; amounts are tokens.
 *
 * @param vm the peer
 * @param incarnation of the peer; its counters start at zero with it
 * @param admitted since the incarnation started, net of what was given back
 * @param offered asked for since the incarnation started, admitted or not
 * @param level what is left of the burst, as the peer reckons
 * @param startedTogether whether the peer has not run for longer than this VM
 */
public record PeerBucketUsage(
        String vm,
        String incarnation,
        long admitted,
        long offered,
        double level,
        boolean startedTogether) {}
