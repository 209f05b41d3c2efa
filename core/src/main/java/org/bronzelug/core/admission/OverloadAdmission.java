package org.bronzelug.core.admission;

import java.util.OptionalLong;

/**
 * Decides whether a prompt may be sent to a runner with a queue, by the prompt's urgency and by its
 * team's use of the pool.
 *
 * <p>A team beyond its fair share yields to the others: its prompts are sent only to shorter
 * queues. A queue of that length still keeps its runner busy, so the team is not held back while
 * there is capacity.
 *
 * <p>Stateless and thread-safe.
 */
public final class OverloadAdmission {
    /** Queue that a less urgent prompt may meet, as a fraction of its goal. */
    private static final double QUEUE_FRACTION = 0.6;

    /** The same for a team beyond its share. */
    private static final double QUEUE_FRACTION_BEYOND_SHARE = 0.4;

    private static final double NANOS_PER_MILLI = 1e6;

    private OverloadAdmission() {}

    /**
     * Returns the time until the queue is short enough for the prompt; empty if it is now.
     *
     * @param urgent whether the prompt's route has the highest priority
     * @param beyondShare whether the prompt's team is beyond its fair share
     * @param goalMillis target time to the first token
     * @param queuedNanos estimated queue delay at the best runner
     */
    public static OptionalLong excessNanos(
            boolean urgent, boolean beyondShare, long goalMillis, double queuedNanos) {
        double excess = queuedNanos - fraction(urgent, beyondShare) * goalMillis * NANOS_PER_MILLI;
        return excess > 0 ? OptionalLong.of((long) excess) : OptionalLong.empty();
    }

    private static double fraction(boolean urgent, boolean beyondShare) {
        if (urgent) {
            return beyondShare ? 1 : Double.POSITIVE_INFINITY;
        }
        return beyondShare ? QUEUE_FRACTION_BEYOND_SHARE : QUEUE_FRACTION;
    }
}
