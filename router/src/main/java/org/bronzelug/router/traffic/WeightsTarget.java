package org.bronzelug.router.traffic;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The weights named for a model. Immutable.
 *
 * <p>Each version has its own time from which older ones are late. The failure this prevents: a
 * newer version is named every few seconds, the age starts anew each time, and a runner that is two
 * versions behind answers on and on.
 *
 * @param model its name
 * @param namedNanos when this VM first knew of each version, by its monotonic clock
 */
public record WeightsTarget(String model, Map<Long, Long> namedNanos) {
    /** Versions remembered; runners are never so far behind. */
    private static final int MAXIMUM_VERSIONS = 32;

    public WeightsTarget {
        namedNanos = Map.copyOf(namedNanos);
    }

    /** The first version that this VM knows of. */
    public static WeightsTarget first(String model, long version, long seenNanos) {
        return new WeightsTarget(model, Map.of(version, seenNanos));
    }

    /** The same model with a newer version. */
    public WeightsTarget with(long version, long seenNanos) {
        TreeMap<Long, Long> named = new TreeMap<>(namedNanos);
        named.put(version, seenNanos);
        while (named.size() > MAXIMUM_VERSIONS) {
            named.pollFirstEntry();
        }
        return new WeightsTarget(model, named);
    }

    /** The newest version. */
    public long version() {
        return namedNanos.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** Since when a runner with this version is behind; empty where it is not. */
    public OptionalLong behindSinceNanos(long version) {
        return namedNanos.entrySet().stream()
                .filter(named -> named.getKey() > version)
                .mapToLong(Map.Entry::getValue)
                .min();
    }
}
