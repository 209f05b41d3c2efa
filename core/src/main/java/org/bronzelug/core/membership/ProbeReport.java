package org.bronzelug.core.membership;

import java.util.List;
import java.util.OptionalLong;

/**
 * A peer's answer to a probe: what the peer knew at the moment of its answer. It holds ages, not
 * times, so that no two clocks are compared. Immutable.
 *
 * @param peer the peer that answered
 * @param settled whether the peer counts for a majority: see {@link Freshness}
 * @param draining whether the peer is about to stop
 * @param platformAgeNanos how long before the answer the platform confirmed the peer's
 *     configuration as the newest; empty where it never did
 * @param members what the peer knows of others
 */
public record ProbeReport(
        MemberIdentity peer,
        boolean settled,
        boolean draining,
        OptionalLong platformAgeNanos,
        List<MemberAge> members) {

    public ProbeReport {
        members = List.copyOf(members);
    }

    /**
     * One VM in a report.
     *
     * @param identity its newest incarnation
     * @param lastSeenAgeNanos how long ago it lived
     * @param syncedAgeNanos how long ago the peer's configuration covered its; empty: never
     * @param draining whether it is about to stop
     */
    public record MemberAge(
            MemberIdentity identity,
            long lastSeenAgeNanos,
            OptionalLong syncedAgeNanos,
            boolean draining) {}
}
