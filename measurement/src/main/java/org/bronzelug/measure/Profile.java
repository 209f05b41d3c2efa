package org.bronzelug.measure;

import java.util.List;

/**
 * A deployment of the brief, and the load it is measured under. Immutable.
 *
 * @param vms entry VMs
 * @param runners model runners
 * @param vmToRunnerNanos one way
 * @param callerToVmNanos one way
 * @param teamShares of the requests, the largest first
 * @param requestsPerSecond of all teams together
 */
public record Profile(
        String name,
        int vms,
        int runners,
        long vmToRunnerNanos,
        long callerToVmNanos,
        List<Double> teamShares,
        double requestsPerSecond) {
    private static final long MILLI = 1_000_000;
    private static final List<Double> A_FEW_LARGE = List.of(0.45, 0.30, 0.15, 0.07, 0.03);

    /** The association: 7 VMs, 8 runners, zones a millisecond apart. */
    public static Profile association() {
        return new Profile("association", 7, 8, MILLI, MILLI, A_FEW_LARGE, 130);
    }

    /** Tapløn: 6 VMs, 13 runners, zones 1.5 ms apart, callers 3 ms away. */
    public static Profile taploen() {
        return new Profile("taploen", 6, 13, 3 * MILLI / 2, 3 * MILLI, A_FEW_LARGE, 210);
    }

    /** The profile of that name. */
    public static Profile named(String name) {
        return name.equals("taploen") ? taploen() : association();
    }

    public String team(int index) {
        return "team-" + index;
    }
}
