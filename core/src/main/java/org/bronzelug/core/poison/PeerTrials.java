package org.bronzelug.core.poison;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The suspected parts that other VMs have in progress at endpoints. Each report of a VM replaces
 * its previous one. Not thread-safe.
 */
final class PeerTrials {
    /** Covers several rounds of reports, in case some are lost or their VM has died. */
    private static final long VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final Map<String, Trials> byVm = new HashMap<>();

    private record Trials(Set<PartKey> waiting, Set<PartKey> begun, long receivedNanos) {}

    void record(String vm, PoisonReport report, long nowNanos) {
        if (report.waiting().isEmpty() && report.begun().isEmpty()) {
            byVm.remove(vm);
        } else {
            byVm.put(vm, new Trials(report.waiting(), report.begun(), nowNanos));
        }
    }

    boolean isInProgress(PartKey part, long nowNanos) {
        return byVm.values().stream()
                .filter(trials -> nowNanos - trials.receivedNanos() < VALID_NANOS)
                .anyMatch(
                        trials -> trials.waiting().contains(part) || trials.begun().contains(part));
    }

    boolean isBegun(PartKey part, long nowNanos) {
        return byVm.values().stream()
                .filter(trials -> nowNanos - trials.receivedNanos() < VALID_NANOS)
                .anyMatch(trials -> trials.begun().contains(part));
    }
}
