package org.bronzelug.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Chooses whom to probe next.
 *
 * <p>The failure it guards against: a third of the VMs is cut off while the platform is down; a
 * third of the probes goes to them in vain, the others' knowledge spreads too slowly, and VMs that
 * could serve go stale and refuse. So probes go to VMs heard of lately, but for one now and then,
 * by which a VM that comes back is found; it probes the others as well, so that is enough.
 *
 * <p>Stateless and thread-safe.
 */
public final class ProbeTargets {
    /**
     * So long a VM counts as heard of lately, in nanoseconds. Much longer than news takes to
     * spread: with 1.5 s, and news of 1.4 s, VMs took each other for lost, probed fewer, heard
     * still less, and two thirds of the time none was fresh (docs/MEASUREMENTS.md "Freshness").
     */
    public static final long REMEMBERED_NANOS = 4_500_000_000L;

    /** One round in so many asks a VM not heard of lately. */
    static final int ROUNDS_A_SEARCH = 8;

    private ProbeTargets() {}

    /**
     * Chooses at random.
     *
     * @param heard what names the VMs heard of lately
     * @param unheard what names the others
     * @return so many different ones, or all where there are fewer
     */
    public static <T> List<T> choose(
            Collection<T> heard, Collection<T> unheard, int count, RandomGenerator random) {
        List<T> likely = shuffled(heard, random);
        List<T> unlikely = shuffled(unheard, random);
        boolean searches = !unlikely.isEmpty() && random.nextInt(ROUNDS_A_SEARCH) == 0;
        List<T> order = new ArrayList<>();
        if (searches) {
            order.add(unlikely.get(0));
        }
        order.addAll(likely);
        order.addAll(searches ? unlikely.subList(1, unlikely.size()) : unlikely);
        return List.copyOf(order.subList(0, Math.min(count, order.size())));
    }

    private static <T> List<T> shuffled(Collection<T> items, RandomGenerator random) {
        List<T> shuffled = new ArrayList<>(items);
        Collections.shuffle(shuffled, Random.from(random));
        return shuffled;
    }
}
