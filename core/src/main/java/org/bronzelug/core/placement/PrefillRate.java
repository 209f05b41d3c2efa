package org.bronzelug.core.placement;

import java.util.Arrays;

/**
 * How long a model engine takes to prefill one prompt token, learned from prompts that it read
 * whole and with nothing queued before them.
 *
 * <p>The estimate is the median of the last samples. Requests of other VMs that arrived at the same
 * time only lengthen a sample, and a wrong belief in a cached prefix only shortens it; neither
 * moves the median unless most samples are wrong. Until enough samples are there, the window holds
 * a start value.
 *
 * <p>Invariant: the estimate is between {@link #LEAST_NANOS} and {@link #MOST_NANOS}. Not
 * thread-safe: guarded by its owner.
 */
public final class PrefillRate {
    /** Of an engine that reads 40 tokens a millisecond. */
    static final double START_NANOS = 25_000;

    static final double LEAST_NANOS = 1_000;
    static final double MOST_NANOS = 2_000_000;

    /** With fewer tokens, the fixed part of an answer's latency weighs too much. */
    static final int LEAST_TOKENS = 2_000;

    private static final int WINDOW = 15;

    private final double[] samples = new double[WINDOW];
    private int next;
    private double median = START_NANOS;

    public PrefillRate() {
        Arrays.fill(samples, START_NANOS);
    }

    /**
     * Takes in one prompt; one that is too short to tell is ignored.
     *
     * @param tokens that were prefilled
     * @param nanos from sending the request to the first byte of its answer
     */
    public void record(int tokens, long nanos) {
        if (tokens < LEAST_TOKENS || nanos <= 0) {
            return;
        }
        double sample = (double) nanos / tokens;
        samples[next] = Math.clamp(sample, LEAST_NANOS, MOST_NANOS);
        next = (next + 1) % WINDOW;
        double[] sorted = samples.clone();
        Arrays.sort(sorted);
        median = sorted[WINDOW / 2];
    }

    public double nanosPerToken() {
        return median;
    }
}
