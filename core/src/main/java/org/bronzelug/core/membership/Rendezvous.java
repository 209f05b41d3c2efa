package org.bronzelug.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) hashing: every VM that knows the same names orders them alike
 * for a key, with no state; a name that comes or goes moves only its own keys.
 *
 * <p>Stateless and thread-safe.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** The names in the order of their weight for the key, the first choice first. */
    public static List<String> order(String key, Collection<String> names) {
        return names.stream()
                .sorted(Comparator.comparingLong((String name) -> weight(key, name)).reversed())
                .toList();
    }

    /** The first choice for the key; empty where there are no names. */
    public static Optional<String> first(String key, Collection<String> names) {
        return names.stream().max(Comparator.comparingLong(name -> weight(key, name)));
    }

    /** The weight of a name for a key: uniform over all longs. */
    public static long weight(String key, String name) {
        return HASH.hashChars(key + "\u0000" + name);
    }
}
