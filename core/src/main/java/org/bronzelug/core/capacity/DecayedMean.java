package org.bronzelug.core.capacity;

/**
 * A mean of samples whose weights halve with each half-life.
 *
 * <p>Invariant: the weight is between 0 and the bound, so that a change is noticed within a bounded
 * time, however many samples there were before. Not thread-safe: guarded by its owner.
 */
final class DecayedMean {
    private final double halfLifeNanos;
    private final double maximumWeight;
    private double mean;
    private double weight;
    private long lastNanos;

    DecayedMean(long halfLifeNanos, double maximumWeight) {
        this.halfLifeNanos = halfLifeNanos;
        this.maximumWeight = maximumWeight;
    }

    void add(double sample, long nowNanos) {
        double kept = Math.min(weight(nowNanos), maximumWeight - 1);
        mean = (mean * kept + sample) / (kept + 1);
        weight = kept + 1;
        lastNanos = nowNanos;
    }

    /** Returns the mean of the samples; 0 if there are none. */
    double mean() {
        return mean;
    }

    /** Returns the sum of the samples' weights. */
    double weight(long nowNanos) {
        return weight * decay(nowNanos - lastNanos, halfLifeNanos);
    }

    /** Returns the factor by which a weight has decreased at the given age. */
    static double decay(double ageNanos, double halfLifeNanos) {
        return Math.pow(2, -Math.max(0, ageNanos) / halfLifeNanos);
    }
}
