package org.bronzelug.core.limit;

/**
 * The usage of one {@link FleetBucket} that a peer reports. Immutable; amounts are tokens.
 *
 * @param vm the peer
 * @param incarnation the peer's incarnation, with which its counters start at zero
 * @param admitted tokens admitted since the incarnation started, less refunds
 * @param offered tokens demanded since the incarnation started, whether or not admitted
 * @param level level of the bucket as computed by the peer
 * @param startedTogether whether the peer has not run for longer than this VM
 */
public record PeerBucketUsage(
        String vm,
        String incarnation,
        long admitted,
        long offered,
        double level,
        boolean startedTogether) {}
