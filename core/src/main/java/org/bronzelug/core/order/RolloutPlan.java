package org.bronzelug.core.order;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Which runners load the newest weights next.
 *
 * <p>A runner under order takes no requests until those that it has are done and the weights are
 * loaded: a second where there is little to do, several where there is much. So the part that is
 * under order at once falls with the load: the failure this prevents is that half of the runners
 * wait for their last streams while the other half, with all requests, gets so slow that theirs
 * never end.
 *
 * <p>Those with the oldest weights go first: where versions follow each other faster than they are
 * loaded, another order would leave one runner behind for good. Of equal ones that with the least
 * under way goes first, since its requests finish soonest. Stateless and thread-safe.
 */
public final class RolloutPlan {
    /** Requests a runner up to which streams go at nearly full speed. */
    private static final double CALM_REQUESTS = 3;

    /** Requests a runner up to which the others bear a third more. */
    private static final double BUSY_REQUESTS = 7;

    private static final int CALM_PART = 2;
    private static final int BUSY_PART = 3;
    private static final int FULL_PART = 5;

    private RolloutPlan() {}

    /** The runners to order now. */
    public static List<RolloutTarget> next(Collection<RolloutTarget> targets, long newest) {
        long underWay = targets.stream().filter(RolloutTarget::ordered).count();
        return targets.stream()
                .filter(target -> !target.ordered() && target.version() < newest)
                .sorted(
                        Comparator.comparingLong(RolloutTarget::version)
                                .thenComparingInt(RolloutTarget::requests)
                                .thenComparing(RolloutTarget::endpoint))
                .limit(Math.max(0, atOnce(targets) - underWay))
                .toList();
    }

    /** How many may be under order at once; at least one. */
    static long atOnce(Collection<RolloutTarget> targets) {
        long answering = targets.stream().filter(RolloutTarget::answers).count();
        int requests = targets.stream().mapToInt(RolloutTarget::requests).sum();
        double perRunner = (double) requests / Math.max(1, answering);
        int part = FULL_PART;
        if (perRunner <= CALM_REQUESTS) {
            part = CALM_PART;
        } else if (perRunner <= BUSY_REQUESTS) {
            part = BUSY_PART;
        }
        return Math.max(1, answering / part);
    }
}
