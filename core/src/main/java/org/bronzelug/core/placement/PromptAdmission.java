package org.bronzelug.core.placement;

import java.util.OptionalLong;

/**
 * Rejects low-priority prompts when the estimated queue delay exceeds their budget.
 *
 * <p>Without this, when some runners have failed or are loading weights and prompts arrive faster
 * than the other runners prefill them, every queue grows until all first tokens are late, decoding
 * slows down beside the continuous prefill, and cached prefixes are evicted.
 *
 * <p>Prompts of the highest-priority routes are always admitted. The size of a prompt is not
 * considered, since the largest prompts would never be admitted.
 *
 * <p>Stateless and thread-safe.
 */
public final class PromptAdmission {
    /**
     * Fraction of the target time to the first token that a prompt may spend in the queue. The rest
     * is for its own prefill and for prompts that other VMs send at the same time.
     */
    private static final double QUEUE_FRACTION = 0.6;

    /** The shortest retry delay; overload rarely ends sooner. */
    private static final long MINIMUM_RETRY_MILLIS = 700;

    /**
     * Range of the random part of a retry delay, so that callers rejected together retry at
     * different times.
     */
    private static final long SPREAD_MILLIS = 900;

    private static final double NANOS_PER_MILLI = 1e6;

    private PromptAdmission() {}

    /**
     * Returns the delay after which the caller of a rejected prompt should retry; empty if the
     * prompt is admitted.
     *
     * @param urgent whether the prompt's route has the highest priority
     * @param goalMillis target time to the first token
     * @param queuedNanos estimated queue delay at the runner
     * @param draw random number, uniform in [0, 1), that spreads the delays
     */
    public static OptionalLong retryAfterMillis(
            boolean urgent, long goalMillis, double queuedNanos, double draw) {
        double queuedMillis = queuedNanos / NANOS_PER_MILLI;
        if (urgent || queuedMillis <= QUEUE_FRACTION * goalMillis) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(MINIMUM_RETRY_MILLIS + (long) (draw * SPREAD_MILLIS));
    }
}
