package org.bronzelug.router.traffic;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The published target versions of a model's weights. Immutable.
 *
 * <p>The time of each version is kept, since a runner is behind from the publication of the first
 * version that it lacks. If only the newest version's time were kept and a newer version were
 * published every few seconds, the time would restart with each version, and a runner that is two
 * versions behind would stay in use indefinitely.
 *
 * @param model name of the model
 * @param namedNanos the earliest time at which each version is known to have been published, by
 *     this VM's monotonic clock
 */
public record WeightsTarget(String model, Map<Long, Long> namedNanos) {
    /** Maximum number of versions that are kept; runners are never that many versions behind. */
    private static final int MAXIMUM_VERSIONS = 32;

    public WeightsTarget {
        namedNanos = Map.copyOf(namedNanos);
    }

    /** Returns a target with the first version that this VM learns of. */
    public static WeightsTarget first(String model, long version, long seenNanos) {
        return new WeightsTarget(model, Map.of(version, seenNanos));
    }

    /**
     * Returns a copy of this target with a version added, or with the earlier of two times at which
     * a version was known.
     */
    public WeightsTarget with(long version, long seenNanos) {
        TreeMap<Long, Long> versions = new TreeMap<>(namedNanos);
        versions.merge(version, seenNanos, Math::min);
        while (versions.size() > MAXIMUM_VERSIONS) {
            versions.pollFirstEntry();
        }
        return new WeightsTarget(model, versions);
    }

    /** Returns a copy of this target without a version. */
    public WeightsTarget without(long version) {
        TreeMap<Long, Long> versions = new TreeMap<>(namedNanos);
        versions.remove(version);
        return new WeightsTarget(model, versions);
    }

    /** Returns the newest version; 0 if there is none. */
    public long version() {
        return namedNanos.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** Returns the time since which a runner with this version is behind; empty if it is not. */
    public OptionalLong behindSinceNanos(long version) {
        return namedNanos.entrySet().stream()
                .filter(entry -> entry.getKey() > version)
                .mapToLong(Map.Entry::getValue)
                .min();
    }
}
