package org.bronzelug.core.rollout;

import java.util.Collection;

/**
 * Decides which stage a rollout is in. All VMs decide by themselves from the same facts, so none of
 * them has to be reachable for the others to go on. Stateless and thread-safe.
 */
public final class RolloutPolicy {
    /**
     * Time before the time limit at which traffic shifts to a version without evidence of faults.
     */
    private static final long SHIFT_MILLIS = 4_000;

    /** The shift takes at most this fraction of a short rollout. */
    private static final long SHIFT_DIVISOR = 3;

    /** Time before the time limit at which the end state is written in any case. */
    private static final long WRITE_MILLIS = 700;

    /** Time from the start of the shift until all VMs have stopped using the current version. */
    private static final long SETTLE_MILLIS = 1_000;

    /** A version with fewer responses than this has not been tried. */
    private static final long MINIMUM_RESPONSES = 10;

    /**
     * Bad responses after which a version on trial gets no further requests, verdict or not: well
     * below the number after which a bad version must not be used any more.
     */
    private static final long MAXIMUM_BAD_RESPONSES = 30;

    private RolloutPolicy() {}

    /**
     * What is known of a rollout in progress.
     *
     * @param ageMillis since the order
     * @param durationMillis time limit, counted from the order
     * @param evidenceOfFaults whether {@link RolloutEvidence} calls the version bad
     * @param responses of the target version
     * @param targetAvailable whether an endpoint of the target version accepts requests
     */
    public record Facts(
            long ageMillis,
            long durationMillis,
            boolean evidenceOfFaults,
            long responses,
            boolean targetAvailable) {}

    /** Returns the stage of a rollout that has not ended yet. */
    public static RolloutStage stage(Facts facts) {
        if (facts.evidenceOfFaults()) {
            return RolloutStage.ROLLED_BACK;
        }
        long shiftMillis = Math.min(SHIFT_MILLIS, facts.durationMillis() / SHIFT_DIVISOR);
        if (facts.ageMillis() < facts.durationMillis() - shiftMillis) {
            return RolloutStage.TRIAL;
        }
        boolean tried = facts.targetAvailable() && facts.responses() >= MINIMUM_RESPONSES;
        return tried ? RolloutStage.SHIFTING : RolloutStage.ROLLED_BACK;
    }

    /**
     * Returns whether a shifting rollout may end: the current version has completed its requests,
     * or the time limit is near.
     *
     * @param shiftedMillis how long the rollout has been shifting
     * @param currentRequests requests in flight at endpoints of the current version, from all VMs
     */
    public static boolean mayEnd(Facts facts, long shiftedMillis, int currentRequests) {
        boolean completed = shiftedMillis >= SETTLE_MILLIS && currentRequests == 0;
        return completed || facts.ageMillis() >= facts.durationMillis() - WRITE_MILLIS;
    }

    /**
     * Returns whether a version on trial may get further requests.
     *
     * @param badByEndpoint bad responses of each endpoint of the target version
     */
    public static boolean mayContinueTrial(Collection<Long> badByEndpoint) {
        return badByEndpoint.stream().mapToLong(Long::longValue).sum() < MAXIMUM_BAD_RESPONSES;
    }

    /**
     * Returns whether bad responses come from the version rather than from a single faulty
     * endpoint: they do if most of them are not one endpoint's, or if there is only one endpoint.
     */
    public static boolean isSpread(Collection<Long> badByEndpoint, int targetEndpoints) {
        long total = badByEndpoint.stream().mapToLong(Long::longValue).sum();
        long worst = badByEndpoint.stream().mapToLong(Long::longValue).max().orElse(0);
        return targetEndpoints <= 1 || 3 * worst <= 2 * total;
    }
}
