package org.bronzelug.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing (highest random weight): all VMs that know the same names order them alike for
 * a key, without shared state. Adding or removing a name moves only the keys for which that name is
 * the first choice.
 *
 * <p>Stateless and thread-safe.
 */
public final class Rendezvous {
    /**
     * Odd constants of the SplitMix64 generator, whose steps spread each bit over the whole long.
     */
    private static final long INCREMENT = 0x9E3779B97F4A7C15L;

    private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

    private Rendezvous() {}

    /** Returns the names by descending weight for the key; the first choice comes first. */
    public static List<String> order(String key, Collection<String> names) {
        return names.stream()
                .map(name -> new Weighted(name, weight(key, name)))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .map(Weighted::name)
                .toList();
    }

    /** Returns the first choice for the key; empty if there are no names. */
    public static Optional<String> first(String key, Collection<String> names) {
        return first(key.hashCode(), names);
    }

    /** Returns the first choice for a key that is itself a hash; empty if there are no names. */
    public static Optional<String> first(long key, Collection<String> names) {
        Optional<String> first = Optional.empty();
        long greatest = 0;
        for (String name : names) {
            long weight = weight(key, name);
            if (first.isEmpty() || weight > greatest) {
                first = Optional.of(name);
                greatest = weight;
            }
        }
        return first;
    }

    /** Returns the weight of a name for a key, uniformly distributed over all longs. */
    public static long weight(String key, String name) {
        return weight(key.hashCode(), name);
    }

    /**
     * Returns the weight of a name for a key that is itself a hash. Strings keep their hash codes,
     * so a weight costs a few instructions; it is computed for each runner and prompt.
     */
    public static long weight(long key, String name) {
        return mix(mix(key) + name.hashCode());
    }

    private static long mix(long value) {
        long mixed = value + INCREMENT;
        mixed = (mixed ^ (mixed >>> 30)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> 31);
    }

    private record Weighted(String name, long weight) {}
}
