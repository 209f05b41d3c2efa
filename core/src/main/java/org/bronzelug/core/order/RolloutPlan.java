package org.bronzelug.core.order;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Which runners load the newest weights next.
 *
 * <p>Some are left to serve meanwhile. Those with the oldest weights go first: where versions
 * follow each other faster than they are loaded, another order would leave one runner behind for
 * good. Of equal ones that with the least under way goes first, since its requests finish soonest.
 * Stateless and thread-safe.
 */
public final class RolloutPlan {
    private RolloutPlan() {}

    /** The runners to order now. */
    public static List<RolloutTarget> next(
            Collection<RolloutTarget> targets, long newest, int atOnce) {
        long underWay = targets.stream().filter(RolloutTarget::ordered).count();
        return targets.stream()
                .filter(target -> !target.ordered() && target.version() < newest)
                .sorted(
                        Comparator.comparingLong(RolloutTarget::version)
                                .thenComparingInt(RolloutTarget::loadedRequests)
                                .thenComparing(RolloutTarget::endpoint))
                .limit(Math.max(0, atOnce - underWay))
                .toList();
    }
}
