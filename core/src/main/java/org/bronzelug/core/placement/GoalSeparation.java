package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.bronzelug.core.membership.Rendezvous;

/**
 * Divides the available runners of a pool between the two classes of goals, in proportion to their
 * work: prompts of the relaxed class go to the first runners of an order that is the same on all
 * VMs, those of the tight class to the others.
 *
 * <p>A runner shares its prefill between all prompts that it has admitted. Without the separation,
 * a short prompt with a tight goal is late beside long prompts that could wait.
 *
 * <p>Invariants: neither set is empty while a runner is available. The relaxed sets of two VMs that
 * know the same runners are prefixes of one order, so they differ at the border only, however much
 * the VMs' knowledge of the work differs. Immutable.
 *
 * @param relaxed the runners for prompts of the relaxed class
 * @param tight the runners for prompts of the tight class
 */
public record GoalSeparation(Set<String> relaxed, Set<String> tight) {
    /**
     * Utilization for which the set of the tight class is sized. At 0.3 prompts of the relaxed
     * class were late more often, and hardly fewer of the tight class
     * (docs/design/goal-separation.md).
     */
    static final double TIGHT_UTILIZATION = 0.45;

    /** Utilization for which the set of the relaxed class is sized: its prompts may queue. */
    static final double RELAXED_UTILIZATION = 0.6;

    /**
     * A class that keeps more of its set busy uses all runners, since runners of the other set
     * could stand idle beside its queue.
     */
    static final double FULL_UTILIZATION = 0.9;

    /**
     * Each class gets at least one runner in this many. The work of a class that begins suddenly is
     * known late, and a set of one runner would be overloaded until then.
     */
    private static final int RUNNERS_PER_RESERVED = 8;

    /**
     * With fewer available runners, a set is one runner, whose queue costs the relaxed class more
     * than the separation gains for the tight one.
     */
    static final int MINIMUM_RUNNERS = 4;

    /** Fraction of a goal that the time to the first token may take within the set. */
    static final double OVERFLOW_FRACTION = 0.5;

    private static final double NANOS_PER_MILLI = 1e6;

    public GoalSeparation {
        relaxed = Set.copyOf(relaxed);
        tight = Set.copyOf(tight);
    }

    /** Returns the runners in the order in which the relaxed class takes them. */
    public static List<String> order(String pool, Collection<String> runners) {
        return Rendezvous.order(pool, runners);
    }

    /**
     * Returns the sets, in proportion to the runners that the classes need. Both classes get all
     * runners while only one of them has work, or there are too few runners to divide.
     *
     * @param order the available runners in their order
     * @param relaxedBusy number of runners that the work of the relaxed class keeps busy
     * @param tightBusy number of runners that the work of the tight class keeps busy
     */
    public static GoalSeparation of(List<String> order, double relaxedBusy, double tightBusy) {
        int size = order.size();
        if (size < MINIMUM_RUNNERS || relaxedBusy <= 0 || tightBusy <= 0) {
            return new GoalSeparation(Set.copyOf(order), Set.copyOf(order));
        }
        double relaxedNeed = relaxedBusy / RELAXED_UTILIZATION;
        double tightNeed = tightBusy / TIGHT_UTILIZATION;
        int least = Math.ceilDiv(size, RUNNERS_PER_RESERVED);
        int share = (int) Math.ceil(size * tightNeed / (tightNeed + relaxedNeed));
        int tightCount = Math.clamp(share, least, size - least);
        int border = size - tightCount;
        boolean relaxedFull = relaxedBusy > FULL_UTILIZATION * border;
        boolean tightFull = tightBusy > FULL_UTILIZATION * tightCount;
        return new GoalSeparation(
                Set.copyOf(relaxedFull ? order : order.subList(0, border)),
                Set.copyOf(tightFull ? order : order.subList(border, size)));
    }

    /** Returns the runners for prompts of the class. */
    public Set<String> runners(GoalClass goalClass) {
        return switch (goalClass) {
            case TIGHT -> tight;
            case RELAXED -> relaxed;
        };
    }

    /**
     * Returns whether all available runners are to be considered, since the best runner of the set
     * is expected to take too long.
     *
     * @param expectedNanos expected time to the first token at that runner
     * @param goalMillis goal of the prompt's route
     */
    public static boolean overflows(double expectedNanos, long goalMillis) {
        return expectedNanos > OVERFLOW_FRACTION * goalMillis * NANOS_PER_MILLI;
    }
}
