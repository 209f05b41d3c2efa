package org.bronzelug.core.admission;

/**
 * Gives each rejected request of a pool the time at which its caller should return.
 *
 * <p>Each rejection reserves a time after those of the rejections before it, at the rate at which
 * the pool accepts work. Without this, callers that are rejected together return together and most
 * of them are rejected again.
 *
 * <p>Invariants: a delay is at most a third of the caller's remaining time, beyond which callers do
 * not wait. Delays of requests that are rejected at the same time with the same remaining time
 * increase in the order of the rejections, up to a resolution of one millisecond, until the
 * reserved time reaches {@link #HORIZON_NANOS}. Not thread-safe: guarded by its owner.
 */
public final class ReturnSchedule {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Callers wait at most this fraction of their remaining time. */
    private static final double REMAINING_FRACTION = 1 / 3.0;

    /** Bounds of the time between two returns, since the rate is an estimate. */
    private static final double MINIMUM_GAP_NANOS = 2e6;

    private static final double MAXIMUM_GAP_NANOS = 2.5e8;

    /**
     * Returns are reserved no further ahead, since the estimate does not hold for longer; then they
     * are reserved from the beginning again.
     */
    private static final double HORIZON_NANOS = 1e10;

    private long lastReturnNanos = Long.MIN_VALUE;

    /**
     * Reserves a return.
     *
     * @param work the request's work
     * @param ratePerNano work that the pool accepts in each nanosecond
     * @param waitNanos time until the pool accepts a request that comes now
     * @param remainingNanos time until the caller gives up
     * @return the delay in milliseconds, at least 1
     */
    public long reserveMillis(
            long work, double ratePerNano, long waitNanos, long remainingNanos, long nowNanos) {
        double gap = Math.clamp(work / ratePerNano, MINIMUM_GAP_NANOS, MAXIMUM_GAP_NANOS);
        double ahead =
                lastReturnNanos == Long.MIN_VALUE ? 0 : Math.max(0, lastReturnNanos - nowNanos);
        double delay = Math.max(ahead, waitNanos) + gap;
        if (delay > HORIZON_NANOS) {
            delay = Math.min(HORIZON_NANOS, waitNanos + gap);
        }
        lastReturnNanos = nowNanos + (long) delay;
        double bounded = bounded(delay, Math.max(0, remainingNanos) * REMAINING_FRACTION);
        return Math.max(1, (long) (bounded / NANOS_PER_MILLI));
    }

    /**
     * Maps a delay up to the horizon to one up to the bound and keeps the order: the lower half of
     * the range is for delays that are not changed, the upper half for all that are longer.
     */
    private static double bounded(double delay, double bound) {
        double half = bound / 2;
        if (delay <= half || half <= 0) {
            return Math.min(delay, bound);
        }
        double position = Math.sqrt((delay - half) / (HORIZON_NANOS - half));
        return half + half * Math.min(1, position);
    }
}
