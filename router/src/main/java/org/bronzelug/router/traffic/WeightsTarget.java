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
 * @param publishedNanos when the first VM learned of each version, as far as this VM knows, by its
 *     monotonic clock
 */
public record WeightsTarget(String model, Map<Long, Long> publishedNanos) {
    /** Maximum number of versions that are kept; runners are never that many versions behind. */
    private static final int MAXIMUM_VERSIONS = 32;

    public WeightsTarget {
        publishedNanos = Map.copyOf(publishedNanos);
    }

    /** Returns a target with the first version that this VM learns of. */
    public static WeightsTarget first(String model, long version, long seenNanos) {
        return new WeightsTarget(model, Map.of(version, seenNanos));
    }

    /**
     * Returns a copy of this target with a version added. If the version is known already, the
     * earlier of its two times is kept.
     */
    public WeightsTarget with(long version, long seenNanos) {
        TreeMap<Long, Long> versions = new TreeMap<>(publishedNanos);
        versions.merge(version, seenNanos, Math::min);
        while (versions.size() > MAXIMUM_VERSIONS) {
            versions.pollFirstEntry();
        }
        return new WeightsTarget(model, versions);
    }

    /** Returns a copy of this target without a version. */
    public WeightsTarget without(long version) {
        TreeMap<Long, Long> versions = new TreeMap<>(publishedNanos);
        versions.remove(version);
        return new WeightsTarget(model, versions);
    }

    /** Returns the newest version; 0 if there is none. */
    public long version() {
        return publishedNanos.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** Returns the time since which a version has been replaced; empty if it is the newest. */
    public OptionalLong replacedSinceNanos(long version) {
        return publishedNanos.entrySet().stream()
                .filter(entry -> entry.getKey() > version)
                .mapToLong(Map.Entry::getValue)
                .min();
    }
}
