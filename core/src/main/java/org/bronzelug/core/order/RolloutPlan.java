package org.bronzelug.core.order;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the runners that load the newest weights next.
 *
 * <p>A runner with an order in progress takes no further requests until its current ones have ended
 * and the weights are loaded: about a second under low load, several seconds under high load. So
 * the fraction of runners with an order in progress decreases as the load grows. Without this, half
 * of the runners would wait for their last streams while the other half, with all requests, would
 * become so slow that their streams never end.
 *
 * <p>A runner whose weights were replaced too long ago gets no requests, so ordering it costs no
 * capacity, and makes it reject the requests that still wait there. Such runners are ordered as
 * under medium load; not all at once, since loads slow each other down.
 *
 * <p>Runners with the oldest weights come first: if versions are published faster than they can be
 * loaded, any other order would leave some runner outdated for good. Among runners with equally old
 * weights, the one with the fewest requests in flight comes first, since its requests end soonest.
 * Stateless and thread-safe.
 */
public final class RolloutPlan {
    /** Requests per runner up to which streams run at nearly full speed. */
    private static final double LOW_LOAD_REQUESTS = 3;

    /** Requests per runner up to which the remaining runners can bear a third more requests. */
    private static final double MEDIUM_LOAD_REQUESTS = 7;

    private static final int LOW_LOAD_DIVISOR = 2;
    private static final int MEDIUM_LOAD_DIVISOR = 3;
    private static final int HIGH_LOAD_DIVISOR = 5;

    private RolloutPlan() {}

    /**
     * Returns the runners to order now.
     *
     * @param usableMillis for how long a runner gets requests after its weights are replaced
     */
    public static List<RolloutTarget> next(
            Collection<RolloutTarget> targets, long newest, long usableMillis) {
        long inProgress = targets.stream().filter(RolloutTarget::orderInProgress).count();
        List<RolloutTarget> behind =
                targets.stream()
                        .filter(target -> !target.orderInProgress() && target.version() < newest)
                        .sorted(
                                Comparator.comparingLong(RolloutTarget::version)
                                        .thenComparingInt(RolloutTarget::requests)
                                        .thenComparing(RolloutTarget::endpoint))
                        .toList();
        long unusable =
                behind.stream().filter(target -> target.replacedMillis() >= usableMillis).count();
        long permitted = maximumInProgress(targets) - inProgress;
        long permittedUnusable =
                Math.min(unusable, fraction(targets, MEDIUM_LOAD_DIVISOR) - inProgress);
        return behind.stream().limit(Math.max(0, Math.max(permitted, permittedUnusable))).toList();
    }

    /** Returns how many runners may have an order in progress at once; at least one. */
    static long maximumInProgress(Collection<RolloutTarget> targets) {
        long responding = targets.stream().filter(RolloutTarget::responds).count();
        int requests = targets.stream().mapToInt(RolloutTarget::requests).sum();
        double perRunner = (double) requests / Math.max(1, responding);
        int divisor = HIGH_LOAD_DIVISOR;
        if (perRunner <= LOW_LOAD_REQUESTS) {
            divisor = LOW_LOAD_DIVISOR;
        } else if (perRunner <= MEDIUM_LOAD_REQUESTS) {
            divisor = MEDIUM_LOAD_DIVISOR;
        }
        return fraction(targets, divisor);
    }

    /** Returns a fraction of the runners that respond; at least one. */
    private static long fraction(Collection<RolloutTarget> targets, int divisor) {
        long responding = targets.stream().filter(RolloutTarget::responds).count();
        return Math.max(1, responding / divisor);
    }
}
