package org.bronzelug.core.admission;

/**
 * A sum whose summands lose half of their weight within a fixed time. Not thread-safe: guarded by
 * its owner.
 */
final class DecayingSum {
    private final double halfLifeNanos;
    private double value;
    private long updatedNanos;

    DecayingSum(double halfLifeNanos, long nowNanos) {
        this.halfLifeNanos = halfLifeNanos;
        this.updatedNanos = nowNanos;
    }

    void add(double summand, long nowNanos) {
        value = value(nowNanos) + summand;
        updatedNanos = nowNanos;
    }

    double value(long nowNanos) {
        return value * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / halfLifeNanos);
    }

    /** Returns the mean of the summands for each nanosecond, if they have come for long. */
    double ratePerNano(long nowNanos) {
        return value(nowNanos) * Math.log(2) / halfLifeNanos;
    }
}
