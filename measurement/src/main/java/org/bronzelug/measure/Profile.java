package org.bronzelug.measure;

import java.util.List;

/**
 * A simulated deployment and its load. Immutable.
 *
 * @param name the name on the command line and in the results
 * @param vms the number of VMs
 * @param runners the number of model runners
 * @param vmToRunnerNanos the one-way network delay between a VM and a runner
 * @param callerToVmNanos the one-way network delay between a caller and a VM
 * @param teamShares the fraction of the requests that each team sends, the largest first
 * @param requestsPerSecond the request rate of all teams together
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
    private static final List<Double> SKEWED_TEAM_SHARES = List.of(0.45, 0.30, 0.15, 0.07, 0.03);

    /** Returns the association's deployment: 7 VMs, 8 runners, 1 ms between zones. */
    public static Profile association() {
        return new Profile("association", 7, 8, MILLI, MILLI, SKEWED_TEAM_SHARES, 130);
    }

    /** Returns Tapløn's deployment: 6 VMs, 13 runners, 1.5 ms between zones, 3 ms to callers. */
    public static Profile taploen() {
        return new Profile("taploen", 6, 13, 3 * MILLI / 2, 3 * MILLI, SKEWED_TEAM_SHARES, 210);
    }

    /** Returns the profile "taploen", or the association's for any other name. */
    public static Profile named(String name) {
        return name.equals("taploen") ? taploen() : association();
    }

    public String team(int index) {
        return "team-" + index;
    }
}
