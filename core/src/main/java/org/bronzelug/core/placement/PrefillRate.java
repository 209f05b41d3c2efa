package org.bronzelug.core.placement;

import java.util.Arrays;

/**
 * Estimates the time in which an engine prefills one prompt token, from prompts that were not
 * cached and did not queue.
 *
 * <p>The estimate is the median of the last 15 samples, so it tolerates a minority of wrong
 * samples: concurrent requests of other VMs lengthen a sample, and a prefix that was cached
 * unexpectedly shortens it. The window is initially filled with a default.
 *
 * <p>Invariant: the estimate is between {@link #MINIMUM_NANOS} and {@link #MAXIMUM_NANOS}. Not
 * thread-safe: guarded by its owner.
 */
public final class PrefillRate {
    /** The default: 40 tokens per millisecond. */
    static final double DEFAULT_NANOS = 25_000;

    static final double MINIMUM_NANOS = 1_000;
    static final double MAXIMUM_NANOS = 2_000_000;

    /** With fewer tokens, the fixed latency of a response distorts the sample too much. */
    static final int MINIMUM_TOKENS = 2_000;

    private static final int WINDOW = 15;

    private final double[] samples = new double[WINDOW];
    private int next;
    private double median = DEFAULT_NANOS;

    public PrefillRate() {
        Arrays.fill(samples, DEFAULT_NANOS);
    }

    /**
     * Records the prefill of one prompt; short prompts are ignored.
     *
     * @param tokens number of prefilled tokens
     * @param nanos time from sending the request to the first byte of the response
     */
    public void record(int tokens, long nanos) {
        if (tokens < MINIMUM_TOKENS || nanos <= 0) {
            return;
        }
        double sample = (double) nanos / tokens;
        samples[next] = Math.clamp(sample, MINIMUM_NANOS, MAXIMUM_NANOS);
        next = (next + 1) % WINDOW;
        double[] sorted = samples.clone();
        Arrays.sort(sorted);
        median = sorted[WINDOW / 2];
    }

    public double nanosPerToken() {
        return median;
    }
}
