package org.bronzelug.core.routing;

import java.util.List;

/**
 * The pools and rules for requests with a given host and path prefix. Immutable.
 *
 * @param name unique within a configuration
 * @param host lower case, without a port
 * @param pathPrefix begins and ends with a slash
 * @param stream whether responses are streams of events, forwarded as they arrive
 * @param retryPolicy how requests may be retried
 * @param anonymous whether requests need no key
 * @param timeoutMillis maximum time that a caller waits
 * @param goalMillis target time of a response; for a stream, of its first event
 * @param priority 0 is the most urgent
 * @param maximumAttempts maximum number of endpoints to which one request is sent
 * @param pools the pools that serve the route; never empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        boolean stream,
        RetryPolicy retryPolicy,
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
     * Returns the name of the pool for a request, chosen at random by weight.
     *
     * @param draw random number, uniform in [0, 1)
     */
    public String pool(double draw) {
        int total = pools.stream().mapToInt(WeightedPool::weight).sum();
        double remaining = draw * total;
        for (WeightedPool pool : pools) {
            remaining -= pool.weight();
            if (remaining < 0) {
                return pool.pool();
            }
        }
        return pools.get(pools.size() - 1).pool();
    }
}
