package org.bronzelug.core.poison;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The parts with which an endpoint was seen alive some time after it had begun to respond. Such a
 * part does not crash endpoints of that software version.
 *
 * <p>Invariant: at most {@link #MAXIMUM_PARTS} parts are kept of each software version, those
 * recorded last. Not thread-safe.
 */
final class PartSurvivals {
    /** Time for which a survival counts, since weights and adapters change. */
    static final long VALID_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Age from which a survival is recorded again if its part is seen to survive. */
    private static final long REFRESH_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Some 1 MB for each software version. */
    static final int MAXIMUM_PARTS = 8_192;

    /** Pools have one software version, or two during a rollout. */
    private static final int MAXIMUM_VERSIONS = 16;

    private final Map<String, LinkedHashMap<PartKey, Long>> lastNanos = new HashMap<>();

    /** Records that an endpoint of a software version survived a part. */
    void record(PartKey part, String softwareVersion, long nowNanos) {
        if (!lastNanos.containsKey(softwareVersion) && lastNanos.size() >= MAXIMUM_VERSIONS) {
            lastNanos.clear();
        }
        LinkedHashMap<PartKey, Long> parts =
                lastNanos.computeIfAbsent(softwareVersion, version -> new LinkedHashMap<>());
        parts.putLast(part, nowNanos);
        if (parts.size() > MAXIMUM_PARTS) {
            parts.pollFirstEntry();
        }
    }

    /** Returns whether a part is known not to crash endpoints of a software version. */
    boolean contains(PartKey part, String softwareVersion, long nowNanos) {
        return isYoungerThan(VALID_NANOS, part, softwareVersion, nowNanos);
    }

    /** Returns whether the survival of a part was recorded so lately that it need not be again. */
    boolean isFresh(PartKey part, String softwareVersion, long nowNanos) {
        return isYoungerThan(REFRESH_NANOS, part, softwareVersion, nowNanos);
    }

    private boolean isYoungerThan(
            long ageNanos, PartKey part, String softwareVersion, long nowNanos) {
        Map<PartKey, Long> parts = lastNanos.get(softwareVersion);
        Long recordedNanos = parts == null ? null : parts.get(part);
        return recordedNanos != null && nowNanos - recordedNanos < ageNanos;
    }
}
