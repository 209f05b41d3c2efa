package org.bronzelug.router.settings;

/**
 * What the fleet as a whole must keep to, from its operators. Immutable.
 *
 * @param retryRatio requests sent again, for each sent at first
 * @param retryWindowSeconds over which repeats are counted
 * @param retrySlack repeats allowed besides in each window, over all VMs
 * @param leastVms VMs that share the slack even where fewer are known
 * @param leaseMillis between orders of two VMs to one runner
 * @param graceMillis from the request to stop until the process is ended by force
 * @param weightsMillis after which no request begins on older weights
 * @param changeMillis within which a change of the configuration must be in force everywhere
 */
public record FleetBounds(
        double retryRatio,
        int retryWindowSeconds,
        double retrySlack,
        int leastVms,
        long leaseMillis,
        long graceMillis,
        long weightsMillis,
        long changeMillis) {}
