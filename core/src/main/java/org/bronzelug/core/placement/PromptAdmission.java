package org.bronzelug.core.placement;

import java.util.OptionalLong;

/**
 * Rejects low-priority prompts when the estimated queue delay exceeds their budget.
 *
 * <p>The load it answers: some runners have failed or load weights, and prompts arrive faster than
 * the others prefill them. If all are admitted, every queue grows until all first tokens are late,
 * decoding slows down beside the continuous prefill, and cached prefixes are evicted.
 *
 * <p>Prompts of the highest-priority routes are always admitted. The size of a prompt is not
 * considered, since the largest ones would never be admitted.
 *
 * <p>Stateless and thread-safe.
 */
public final class PromptAdmission {
    /**
     * The part of a prompt's goal that it may spend in the queue. The rest is for its own prefill
     * and for prompts that other VMs send at the same time.
     */
    private static final double QUEUE_PART = 0.6;

    /** The shortest retry delay; overload rarely ends sooner. */
    private static final long LEAST_RETRY_MILLIS = 700;

    /** Retry delays are spread over this, so that callers rejected together retry apart. */
    private static final long SPREAD_MILLIS = 900;

    private static final double NANOS_PER_MILLI = 1e6;

    private PromptAdmission() {}

    /**
     * The delay after which the caller of a rejected prompt should retry; empty if it is admitted.
     *
     * @param urgent whether its route has the highest priority
     * @param goalMillis target time to the first token
     * @param queuedNanos estimated queue delay at the runner
     * @param draw uniform in [0, 1), to spread the delays
     */
    public static OptionalLong retryAfterMillis(
            boolean urgent, long goalMillis, double queuedNanos, double draw) {
        double queuedMillis = queuedNanos / NANOS_PER_MILLI;
        if (urgent || queuedMillis <= QUEUE_PART * goalMillis) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(LEAST_RETRY_MILLIS + (long) (draw * SPREAD_MILLIS));
    }
}
