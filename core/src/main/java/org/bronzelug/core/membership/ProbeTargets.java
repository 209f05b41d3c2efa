package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Chooses the VMs to probe next.
 *
 * <p>Probes go to VMs that were seen recently; only one round in several also probes a VM that was
 * not, to find VMs that have come back. This is enough, since a VM that comes back probes the
 * others as well.
 *
 * <p>Without this preference, when a third of the VMs is cut off while the platform is down, a
 * third of the probes would be sent to them in vain. State updates would spread too slowly between
 * the remaining VMs, and VMs that could serve would exceed the staleness bound and reject requests.
 *
 * <p>Stateless and thread-safe.
 */
public final class ProbeTargets {
    /**
     * How long a VM counts as recently seen, in nanoseconds. Must be much longer than a state
     * update takes to spread: with 1.5 s, and updates that took 1.4 s, VMs considered each other
     * lost, probed fewer VMs and therefore saw even fewer, and for two thirds of the time no VM was
     * fresh (docs/MEASUREMENTS.md "Freshness").
     */
    public static final long RECENTLY_SEEN_NANOS = 4_500_000_000L;

    /** One round in this many probes a VM that was not seen recently. */
    static final int ROUNDS_PER_SEARCH = 8;

    private ProbeTargets() {}

    /**
     * Chooses VMs at random.
     *
     * @param recentlySeen identifiers of the VMs that were seen recently
     * @param notRecentlySeen identifiers of all other VMs
     * @return {@code count} different identifiers, or all if there are fewer
     */
    public static <T> List<T> choose(
            Collection<T> recentlySeen,
            Collection<T> notRecentlySeen,
            int count,
            RandomGenerator random) {
        List<T> recent = shuffled(recentlySeen, random);
        List<T> remaining = shuffled(notRecentlySeen, random);
        boolean searches = !remaining.isEmpty() && random.nextInt(ROUNDS_PER_SEARCH) == 0;
        List<T> order = new ArrayList<>();
        if (searches) {
            order.add(remaining.get(0));
        }
        order.addAll(recent);
        order.addAll(searches ? remaining.subList(1, remaining.size()) : remaining);
        return List.copyOf(order.subList(0, Math.min(count, order.size())));
    }

    private static <T> List<T> shuffled(Collection<T> items, RandomGenerator random) {
        List<T> shuffled = new ArrayList<>(items);
        Collections.shuffle(shuffled, Random.from(random));
        return shuffled;
    }
}
