package org.bronzelug.core.poison;

import java.util.Set;
import java.util.function.Predicate;

/**
 * The requests, of this VM and of others, that show whether an endpoint survives a suspected part.
 *
 * <p>Invariant: of the other VMs only what they reported lately is known; see {@link PeerTrials}.
 * Not thread-safe.
 */
final class PartTrials {
    private final OwnRuns runs;
    private final PeerTrials peers = new PeerTrials();

    PartTrials(OwnRuns runs) {
        this.runs = runs;
    }

    void record(String vm, PoisonReport report, long nowNanos) {
        peers.record(vm, report, nowNanos);
    }

    /** Returns whether any VM has a request with the part in progress. */
    boolean isInProgress(PartKey part, long nowNanos) {
        return peers.isInProgress(part, nowNanos)
                || runs.open(true, nowNanos).contains(part)
                || runs.open(false, nowNanos).contains(part);
    }

    /** Returns whether an endpoint has begun to respond to a request with the part. */
    boolean isBegun(PartKey part, long nowNanos) {
        return peers.isBegun(part, nowNanos) || runs.open(true, nowNanos).contains(part);
    }

    /** Returns the suspected parts of this VM's requests in progress that have begun, or not. */
    Set<PartKey> own(boolean begun, Predicate<PartKey> suspected, long nowNanos) {
        Set<PartKey> parts = runs.open(begun, nowNanos);
        parts.removeIf(suspected.negate());
        return parts;
    }
}
