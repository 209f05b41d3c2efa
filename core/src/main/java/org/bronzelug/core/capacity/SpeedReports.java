package org.bronzelug.core.capacity;

/**
 * The speeds of one endpoint that the other VMs have measured, weighted by the age of their
 * samples. Immutable.
 *
 * @param logarithmSum weighted sum of the logarithms of the speeds
 * @param weight sum of the weights at the time of the snapshot
 * @param newestNanos time of the newest sample; meaningless if the weight is 0
 */
public record SpeedReports(double logarithmSum, double weight, long newestNanos) {
    public static final SpeedReports NONE = new SpeedReports(0, 0, 0);

    /** Older samples say nothing of the endpoint's present speed. */
    private static final long MAXIMUM_AGE_NANOS = 3_000_000_000L;

    private static final double PERCENT = 100;

    /**
     * Returns the report of one VM; none if it has not measured the endpoint recently.
     *
     * @param speedPercent the measured speed; 0 if not measured
     * @param sampleNanos time of the newest sample, by this VM's monotonic clock
     */
    public static SpeedReports of(int speedPercent, long sampleNanos, long nowNanos) {
        long ageNanos = Math.max(0, nowNanos - sampleNanos);
        if (speedPercent <= 0 || ageNanos > MAXIMUM_AGE_NANOS) {
            return NONE;
        }
        double weight = DecayedMean.decay(ageNanos, EndpointSpeed.HALF_LIFE_NANOS);
        double speed = EndpointSpeed.bounded(speedPercent / PERCENT);
        return new SpeedReports(weight * Math.log(speed), weight, nowNanos - ageNanos);
    }

    /** Returns both reports as one. */
    public SpeedReports plus(SpeedReports other) {
        if (other.weight == 0) {
            return this;
        }
        if (weight == 0) {
            return other;
        }
        long newest = newestNanos - other.newestNanos > 0 ? newestNanos : other.newestNanos;
        return new SpeedReports(logarithmSum + other.logarithmSum, weight + other.weight, newest);
    }
}
