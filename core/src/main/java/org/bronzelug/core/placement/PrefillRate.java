package org.bronzelug.core.placement;

import java.util.Arrays;

/**
 * Estimates the prefill time of one prompt token from prompts that an engine prefilled in whole and
 * without queueing.
 *
 * <p>The estimate is the median of the last samples, so it tolerates a minority of wrong ones:
 * concurrent requests of other VMs lengthen a sample, and a prefix that was cached after all
 * shortens it. The window is initially filled with a default.
 *
 * <p>Invariant: the estimate is between {@link #LEAST_NANOS} and {@link #MOST_NANOS}. Not
 * thread-safe: guarded by its owner.
 */
public final class PrefillRate {
    /** The default: 40 tokens a millisecond. */
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
     * Records the prefill of one prompt; short prompts are ignored.
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
