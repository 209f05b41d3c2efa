package org.bronzelug.core.capacity;

/**
 * The mean number of requests of the other VMs at one endpoint, from reports that are late.
 *
 * <p>A request may be shorter than the reports are late, so a single report says little about the
 * requests there now. If all VMs avoid the endpoints that were busy half a second ago, they fill
 * the others, and the load oscillates. The mean over about a second shows the endpoint's share.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class SmoothedCount {
    private static final long HALF_LIFE_NANOS = 700_000_000L;

    private double mean;
    private boolean known;
    private long lastNanos;

    /** Records the number of requests that the other VMs have reported. */
    public void record(int requests, long nowNanos) {
        double kept = known ? DecayedMean.decay(nowNanos - lastNanos, HALF_LIFE_NANOS) : 0;
        mean = requests + (mean - requests) * kept;
        known = true;
        lastNanos = nowNanos;
    }

    public double mean() {
        return mean;
    }
}
