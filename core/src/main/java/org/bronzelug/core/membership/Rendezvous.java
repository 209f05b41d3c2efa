package org.bronzelug.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing (highest random weight): all VMs that know the same names order them alike for
 * a key, without shared state. Adding or removing a name moves only the keys for which that name is
 * the first choice.
 *
 * <p>Stateless and thread-safe.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** Returns the names by descending weight for the key; the first choice comes first. */
    public static List<String> order(String key, Collection<String> names) {
        return names.stream()
                .sorted(Comparator.comparingLong((String name) -> weight(key, name)).reversed())
                .toList();
    }

    /** Returns the first choice for the key; empty if there are no names. */
    public static Optional<String> first(String key, Collection<String> names) {
        return names.stream().max(Comparator.comparingLong(name -> weight(key, name)));
    }

    /** Returns the weight of a name for a key, uniformly distributed over all longs. */
    public static long weight(String key, String name) {
        return HASH.hashChars(key + "\u0000" + name);
    }
}
