package org.bronzelug.core.routing;

import java.util.List;

/**
 * Where the requests of a host and path prefix go, and what is promised for them. Immutable.
 *
 * @param name unique in a configuration
 * @param host lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param stream whether answers are events, forwarded as they arrive
 * @param repeat what may be repeated
 * @param anonymous whether requests need no key
 * @param timeoutMillis the longest that a caller is kept waiting
 * @param goalMillis within which an answer is worth most: to the first event, where it streams
 * @param priority 0 goes first
 * @param maximumAttempts endpoints that one request may be sent to
 * @param pools who serves it; never empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean stream,
        RetryPolicy repeat,
        boolean anonymous,
        long timeoutMillis,
        long goalMillis,
        int priority,
        int maximumAttempts,
        List<WeightedPool> pools) {
    public Route {
        pools = List.copyOf(pools);
    }

    /**
     * The pool for a request.
     *
     * @param draw uniform in [0, 1)
     */
    public String pool(double draw) {
        int total = pools.stream().mapToInt(WeightedPool::weight).sum();
        double left = draw * total;
        for (WeightedPool pool : pools) {
            left -= pool.weight();
            if (left < 0) {
                return pool.pool();
            }
        }
        return pools.get(pools.size() - 1).pool();
    }
}
