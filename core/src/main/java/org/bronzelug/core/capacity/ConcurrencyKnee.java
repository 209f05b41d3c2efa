package org.bronzelug.core.capacity;

/**
 * The number of concurrent requests beyond which an endpoint's throughput no longer increases: some
 * endpoints slow down long before their slots are taken.
 *
 * <p>The limit follows the gradient of the duration, which is the duration while few requests run,
 * divided by the recent one under load. It falls in proportion to the gradient and rises by a
 * little with each response that is not slower than usual. A slow response at more requests than
 * the limit, which other VMs may send, says nothing about the limit: without this rule, it would
 * fall to 1 while they do. docs/design/endpoint-speed.md compares this with additive increase and
 * multiplicative decrease.
 *
 * <p>Invariant: the limit is between 1 and the stated slots, and equals these until there are
 * samples with few and with many requests. Not thread-safe: guarded by its owner.
 */
public final class ConcurrencyKnee {
    /** A recent duration up to this multiple of the one with few requests is not slower. */
    private static final double TOLERANCE = 1.1;

    /** Requests by which the limit tries to rise. */
    private static final double HEADROOM = 0.2;

    private static final double SMOOTHING = 0.4;
    private static final double LOWEST_GRADIENT = 0.5;
    private static final long UNLOADED_HALF_LIFE_NANOS = 10_000_000_000L;
    private static final double UNLOADED_WEIGHT = 100;
    private static final long RECENT_HALF_LIFE_NANOS = 500_000_000L;
    private static final double RECENT_WEIGHT = 5;

    /** Weight of the samples with few requests below which they say nothing. */
    private static final double LEAST_WEIGHT = 0.5;

    private final DecayedMean unloaded = new DecayedMean(UNLOADED_HALF_LIFE_NANOS, UNLOADED_WEIGHT);
    private final DecayedMean recent = new DecayedMean(RECENT_HALF_LIFE_NANOS, RECENT_WEIGHT);
    private double limit = Double.MAX_VALUE;

    /**
     * Records a response.
     *
     * @param running requests of all VMs at the endpoint when it responded
     * @param slots requests that the endpoint states to serve at the same time; at least 1
     * @param duration the duration relative to the usual one, without the reported slowdown of the
     *     endpoint's machine
     */
    public void record(int running, int slots, double duration, long nowNanos) {
        limit = Math.min(limit, slots);
        if (running <= Math.max(1, limit / 2)) {
            unloaded.add(duration, nowNanos);
            return;
        }
        boolean slow = duration > TOLERANCE * unloaded.mean();
        if (unloaded.weight(nowNanos) <= LEAST_WEIGHT || slow && running > limit + 1) {
            return;
        }
        recent.add(duration, nowNanos);
        double gradient =
                Math.clamp(TOLERANCE * unloaded.mean() / recent.mean(), LOWEST_GRADIENT, 1);
        double next = limit * gradient + HEADROOM;
        limit = Math.clamp(limit + SMOOTHING * (next - limit), 1, slots);
    }

    /**
     * Returns the number of requests that the endpoint handles well.
     *
     * @param slots requests that the endpoint states to serve at the same time; at least 1
     */
    public int slots(int slots) {
        return (int) Math.round(Math.min(limit, slots));
    }
}
