package org.bronzelug.core.routing;

/**
 * A pool that receives a fraction of a route's requests. Immutable.
 *
 * @param pool the pool's name
 * @param weight relative to the sum of the weights of the route's pools; at least 0
 */
public record WeightedPool(String pool, int weight) {}
