package org.bronzelug.core.capacity;

/**
 * Decides how often an endpoint that no VM has measured recently gets a request although others
 * appear faster. Without such requests, an endpoint that was slow once would stay unused, since
 * only its responses show that it has recovered.
 *
 * <p>All VMs together send about one request in each interval, until its sample is known to them.
 * Stateless and thread-safe.
 */
public final class Remeasurement {
    /** With 250 ms, one of 25 measurements would come later than 2 s after the previous one. */
    private static final double INTERVAL_NANOS = 100_000_000;

    /** An endpoint without a sample for this long is measured again. */
    private static final long UNMEASURED_NANOS = 1_200_000_000L;

    /** An endpoint with at least this speed gets requests anyway. */
    private static final double ATTRACTIVE_SPEED = 0.9;

    private Remeasurement() {}

    /**
     * Returns the probability with which a request is sent to an endpoint to measure it. The rate
     * of the pool's requests follows from their number and their duration.
     *
     * @param requests mean number of requests of all VMs in flight at the pool
     * @param durationNanos usual duration of a request
     */
    public static double probability(double requests, double durationNanos) {
        return Math.min(1, durationNanos / Math.max(1, requests * INTERVAL_NANOS));
    }

    /**
     * Returns whether a request is sent to the endpoint to measure it.
     *
     * @param draw random number, uniform in [0, 1)
     */
    public static boolean isDue(
            EndpointSpeed speed, double probability, double draw, long nowNanos) {
        return draw < probability
                && speed.isUnmeasured(UNMEASURED_NANOS, nowNanos)
                && speed.speed(nowNanos) < ATTRACTIVE_SPEED;
    }
}
