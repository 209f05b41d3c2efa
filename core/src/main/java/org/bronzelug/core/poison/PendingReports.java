package org.bronzelug.core.poison;

import java.util.LinkedHashMap;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What the next reports of this VM to the other VMs contain.
 *
 * <p>Many VMs may know that a part was survived. So that few of them report it, it waits for the
 * next round, and is dropped if another VM has reported it by then. Not thread-safe.
 */
final class PendingReports {
    /** Time for which this VM does not repeat what it or another VM has told of a survival. */
    private static final long TELL_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAXIMUM_TOLD = 1_024;

    /** Rounds after which unchanged requests in progress are told again. */
    private static final int TRIAL_ROUNDS = 3;

    private final ReportQueue<EndpointCrash> crashes = new ReportQueue<>();
    private final ReportQueue<PoisonReport.Survival> survivals = new ReportQueue<>();
    private final ReportQueue<QuarantinedParts> quarantines = new ReportQueue<>();
    private final LinkedHashMap<PoisonReport.Survival, Long> toldNanos = new LinkedHashMap<>();
    private Set<PartKey> toldWaiting = Set.of();
    private Set<PartKey> toldBegun = Set.of();
    private int roundsSinceTold;

    void addCrash(EndpointCrash crash) {
        crashes.addUrgent(crash);
    }

    void addQuarantine(QuarantinedParts parts) {
        quarantines.addUrgent(parts);
    }

    /** Adds a survival that this VM has just seen, which no other VM may know. */
    void addSeen(PoisonReport.Survival survival) {
        survivals.addUrgent(survival);
    }

    /** Adds a survival that this VM knows and that another one does not seem to know. */
    void addKnown(PoisonReport.Survival survival, long nowNanos) {
        Long knownNanos = toldNanos.get(survival);
        if (knownNanos == null || nowNanos - knownNanos > TELL_AGAIN_NANOS) {
            recordTold(survival, nowNanos);
            survivals.add(survival);
        }
    }

    /** Records that another VM has told of a survival. */
    void recordHeard(PoisonReport.Survival survival, long nowNanos) {
        survivals.remove(survival);
        recordTold(survival, nowNanos);
    }

    private void recordTold(PoisonReport.Survival survival, long nowNanos) {
        toldNanos.putLast(survival, nowNanos);
        if (toldNanos.size() > MAXIMUM_TOLD) {
            toldNanos.pollFirstEntry();
        }
    }

    /** Returns the report of this round; empty if there is nothing to tell. */
    Optional<PoisonReport> round(Set<PartKey> waiting, Set<PartKey> begun) {
        roundsSinceTold++;
        boolean due = roundsSinceTold >= TRIAL_ROUNDS && !(waiting.isEmpty() && begun.isEmpty());
        return report(
                new PoisonReport(
                        crashes.takeRound(),
                        survivals.takeRound(),
                        waiting,
                        begun,
                        quarantines.takeRound()),
                due);
    }

    /** Returns what must not wait for the next round; empty if there is nothing. */
    Optional<PoisonReport> urgent(Set<PartKey> waiting, Set<PartKey> begun) {
        return report(
                new PoisonReport(
                        crashes.takeUrgent(),
                        survivals.takeUrgent(),
                        waiting,
                        begun,
                        quarantines.takeUrgent()),
                false);
    }

    private Optional<PoisonReport> report(PoisonReport report, boolean due) {
        boolean changed =
                !report.waiting().equals(toldWaiting) || !report.begun().equals(toldBegun);
        if (!report.hasItems() && !changed && !due) {
            return Optional.empty();
        }
        toldWaiting = report.waiting();
        toldBegun = report.begun();
        roundsSinceTold = 0;
        return Optional.of(report);
    }
}
