package org.bronzelug.core.order;

/**
 * A runner as the rollout of weights sees it. Immutable.
 *
 * @param endpoint its id
 * @param version of the weights that it has
 * @param requests under way there, of all VMs
 * @param answers whether it answers; one that does not serves nobody
 * @param ordered whether an order for it is under way
 */
public record RolloutTarget(
        String endpoint, long version, int requests, boolean answers, boolean ordered) {}
