package org.bronzelug.core.order;

/**
 * A runner as the rollout of weights sees it. Immutable.
 *
 * @param endpoint its id
 * @param version of the weights that it has
 * @param loadedRequests requests under way there
 * @param ordered whether an order for it is under way
 */
public record RolloutTarget(String endpoint, long version, int loadedRequests, boolean ordered) {}
