package org.bronzelug.router.settings;

/**
 * What an installation states about its behavior under load. Immutable.
 *
 * @param memoryPressure whether a runner fails if the requests that it holds exceed its memory
 * @param rateSlackTokens tokens that a team may get within the rate window beyond its rate and
 *     burst, since VMs know each other's usage with a delay; 0 if the installation states none
 * @param rateWindowSeconds time window over which the rates of teams are checked
 * @param memoryBytes memory of the VM; 0 if unknown
 */
public record LoadSettings(
        boolean memoryPressure, double rateSlackTokens, int rateWindowSeconds, long memoryBytes) {
    /** Returns the settings of an installation that states nothing about load. */
    public static LoadSettings none() {
        return new LoadSettings(false, 0, 0, 0);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return "memoryPressure="
                + memoryPressure
                + (" rateSlackTokens=" + rateSlackTokens)
                + (" rateWindowSeconds=" + rateWindowSeconds)
                + (" memoryBytes=" + memoryBytes);
    }
}
