package org.bronzelug.core.routing;

/**
 * A pool that takes a part of a route's requests.
 *
 * @param pool the pool's name
 * @param weight its part, against the sum over the route's pools; at least 0
 */
public record WeightedPool(String pool, int weight) {}
