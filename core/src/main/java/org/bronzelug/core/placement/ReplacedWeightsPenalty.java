package org.bronzelug.core.placement;

/**
 * The delay that a prompt may take to begin on the newest weights instead of replaced ones. Answers
 * a rollout under load, in which few runners have the newest weights: if all prompts preferred
 * those whatever the delay, they would queue there while the other runners are idle.
 *
 * <p>Stateless and thread-safe.
 */
public final class ReplacedWeightsPenalty {
    /**
     * Fraction of the prompt's target time to the first token. A response on replaced weights is
     * worth a little less to its caller, a late one much less.
     */
    private static final double GOAL_FRACTION = 0.2;

    private static final double NANOS_PER_MILLI = 1e6;

    private ReplacedWeightsPenalty() {}

    public static double nanos(long goalMillis) {
        return GOAL_FRACTION * Math.max(0, goalMillis) * NANOS_PER_MILLI;
    }
}
