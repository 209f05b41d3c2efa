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
    /** Time in which no VM needs to report the same survival again. */
    private static final long REPORT_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAXIMUM_REPORTED = 1_024;

    /** Rounds after which what is in progress is reported again, though it has not changed. */
    private static final int TRIAL_ROUNDS = 3;

    private final ReportQueue<EndpointCrash> crashes = new ReportQueue<>();
    private final ReportQueue<PoisonReport.Survival> survivals = new ReportQueue<>();
    private final ReportQueue<QuarantinedParts> quarantines = new ReportQueue<>();
    private final LinkedHashMap<PoisonReport.Survival, Long> reportedNanos = new LinkedHashMap<>();
    private Set<PartKey> reportedWaiting = Set.of();
    private Set<PartKey> reportedBegun = Set.of();
    private int roundsSinceReport;

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

    /** Adds a survival that this VM knows of and another VM does not seem to. */
    void addKnown(PoisonReport.Survival survival, long nowNanos) {
        Long knownNanos = reportedNanos.get(survival);
        if (knownNanos == null || nowNanos - knownNanos > REPORT_AGAIN_NANOS) {
            recordReported(survival, nowNanos);
            survivals.add(survival);
        }
    }

    /** Records that another VM has reported a survival. */
    void recordHeard(PoisonReport.Survival survival, long nowNanos) {
        survivals.remove(survival);
        recordReported(survival, nowNanos);
    }

    private void recordReported(PoisonReport.Survival survival, long nowNanos) {
        reportedNanos.putLast(survival, nowNanos);
        if (reportedNanos.size() > MAXIMUM_REPORTED) {
            reportedNanos.pollFirstEntry();
        }
    }

    /** Returns the report of this round; empty if there is nothing to report. */
    Optional<PoisonReport> round(Set<PartKey> waiting, Set<PartKey> begun) {
        roundsSinceReport++;
        boolean due = roundsSinceReport >= TRIAL_ROUNDS && !(waiting.isEmpty() && begun.isEmpty());
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
                !report.waiting().equals(reportedWaiting) || !report.begun().equals(reportedBegun);
        if (!report.hasItems() && !changed && !due) {
            return Optional.empty();
        }
        reportedWaiting = report.waiting();
        reportedBegun = report.begun();
        roundsSinceReport = 0;
        return Optional.of(report);
    }
}
