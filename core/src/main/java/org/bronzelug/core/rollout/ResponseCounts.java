package org.bronzelug.core.rollout;

/**
 * Responses on one route since the rollout began, over any number of VMs. Immutable.
 *
 * @param current responses of the current version
 * @param currentBad those of them that failed or were slow
 * @param target responses of the target version
 * @param targetBad those of them that failed or were slow
 * @param currentLogMillis sum of the natural logarithms of the current version's response times in
 *     milliseconds
 */
public record ResponseCounts(
        long current, long currentBad, long target, long targetBad, double currentLogMillis) {
    public static final ResponseCounts NONE = new ResponseCounts(0, 0, 0, 0, 0);

    /** Number of responses from which their mean time is known well enough to call one slow. */
    private static final int MINIMUM_RESPONSES = 20;

    /** Returns the counts of both together. */
    public ResponseCounts plus(ResponseCounts other) {
        return new ResponseCounts(
                current + other.current,
                currentBad + other.currentBad,
                target + other.target,
                targetBad + other.targetBad,
                currentLogMillis + other.currentLogMillis);
    }

    /**
     * Returns the geometric mean of the current version's response times; infinite while too few
     * are known.
     */
    public double meanMillis() {
        return current < MINIMUM_RESPONSES
                ? Double.POSITIVE_INFINITY
                : Math.exp(currentLogMillis / current);
    }
}
