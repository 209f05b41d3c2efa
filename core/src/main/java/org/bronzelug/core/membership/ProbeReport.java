package org.bronzelug.core.membership;

import java.util.List;
import java.util.OptionalLong;

/**
 * A peer's response to a probe: what the peer knew when it responded.
 *
 * <p>The report holds ages instead of times, so that no two clocks are compared. Immutable.
 *
 * @param peer the peer that responded
 * @param caughtUp whether the peer is caught up and so counts for a majority: see {@link Freshness}
 * @param draining whether the peer is about to stop
 * @param platformAgeNanos how long before the response the platform confirmed the peer's
 *     configuration as current; empty if it never did
 * @param members what the peer knows about other VMs
 */
public record ProbeReport(
        MemberIdentity peer,
        boolean caughtUp,
        boolean draining,
        OptionalLong platformAgeNanos,
        List<MemberAge> members) {

    public ProbeReport {
        members = List.copyOf(members);
    }

    /**
     * What the peer knows about one other VM.
     *
     * @param identity the newest incarnation seen
     * @param lastSeenAgeNanos how long ago the VM was last known to be running
     * @param syncedAgeNanos how long ago the VM held, while caught up, a configuration that the
     *     peer fully holds; empty if never: see {@link MemberStatus}
     * @param draining whether the VM is about to stop
     */
    public record MemberAge(
            MemberIdentity identity,
            long lastSeenAgeNanos,
            OptionalLong syncedAgeNanos,
            boolean draining) {}
}
