package org.bronzelug.core.order;

/**
 * A runner as seen by the rollout of weights. Immutable.
 *
 * @param endpoint id of the runner
 * @param version of the weights that the runner has loaded
 * @param replacedMillis for how long that version has been replaced by a newer one; 0 if it is the
 *     newest
 * @param requests in flight on the runner, from all VMs
 * @param responds whether the runner responds; one that does not serves no requests
 * @param orderInProgress whether an order for the runner is in progress
 */
public record RolloutTarget(
        String endpoint,
        long version,
        long replacedMillis,
        int requests,
        boolean responds,
        boolean orderInProgress) {}
