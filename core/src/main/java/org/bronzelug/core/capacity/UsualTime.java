package org.bronzelug.core.capacity;

/**
 * The usual duration of a unit of work at a pool, as this VM has seen it over its endpoints, for
 * one kind of request. An endpoint's speed is relative to it.
 *
 * <p>The geometric mean is used, since speeds are ratios. Its half-life is long compared with that
 * of an endpoint's samples: a slowdown of some endpoints must not become the usual time before it
 * is noticed.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class UsualTime {
    private static final long HALF_LIFE_NANOS = 10_000_000_000L;
    private static final double MAXIMUM_WEIGHT = 100;

    private final DecayedMean logarithm = new DecayedMean(HALF_LIFE_NANOS, MAXIMUM_WEIGHT);

    /** Records the duration of a unit of work, with any fixed unit. */
    public void record(double duration, long nowNanos) {
        logarithm.add(Math.log(duration), nowNanos);
    }

    /** Returns the usual duration; 1 before the first record. */
    public double duration() {
        return Math.exp(logarithm.mean());
    }
}
