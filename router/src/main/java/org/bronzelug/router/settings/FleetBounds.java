package org.bronzelug.router.settings;

/**
 * Bounds that the fleet as a whole must keep, set by its operators. Immutable.
 *
 * @param retryRatio maximum ratio of retries to first attempts
 * @param retryWindowSeconds time window over which retries are counted
 * @param retrySlack retries allowed in each window in addition to the ratio, over all VMs
 * @param leastVms minimum number of VMs among which the slack is divided, also if fewer are known
 * @param leaseMillis minimum time between orders of two VMs to the same runner
 * @param graceMillis time from the request to stop until the process is killed
 * @param weightsMillis time after the publication of a version of weights from which no request
 *     begins on older weights
 * @param changeMillis time within which a change of the configuration must be in force everywhere
 * @param exposureShare maximum fraction of a pool's requests that go to a software version which is
 *     being rolled out; 0 if the installation has no rollouts
 */
public record FleetBounds(
        double retryRatio,
        int retryWindowSeconds,
        double retrySlack,
        int leastVms,
        long leaseMillis,
        long graceMillis,
        long weightsMillis,
        long changeMillis,
        double exposureShare) {
    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return "retryRatio="
                + retryRatio
                + (" retryWindowSeconds=" + retryWindowSeconds)
                + (" retrySlack=" + retrySlack)
                + (" leastVms=" + leastVms)
                + (" leaseMillis=" + leaseMillis)
                + (" graceMillis=" + graceMillis)
                + (" weightsMillis=" + weightsMillis)
                + (" changeMillis=" + changeMillis)
                + (" exposureShare=" + exposureShare);
    }
}
