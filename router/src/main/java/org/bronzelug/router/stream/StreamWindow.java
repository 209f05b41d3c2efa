package org.bronzelug.router.stream;

import java.util.TreeMap;

/**
 * The time for which a stream can last. When the configuration lowers the limit of a route, the
 * streams that began before may still last for the former time.
 *
 * <p>Invariant: a length that was required is kept until that length of time after it was last
 * required. Not thread-safe.
 */
final class StreamWindow {
    private final TreeMap<Long, Long> lastRequiredNanos = new TreeMap<>();

    StreamWindow(long initialNanos, long nowNanos) {
        lastRequiredNanos.put(initialNanos, nowNanos);
    }

    /** Requires a length from now on. */
    void require(long lengthNanos, long nowNanos) {
        lastRequiredNanos.put(lengthNanos, nowNanos);
        lastRequiredNanos
                .entrySet()
                .removeIf(
                        required ->
                                required.getKey() != lengthNanos
                                        && nowNanos - required.getValue() > required.getKey());
    }

    /** Requires a length at this moment, besides the one that is required from now on. */
    void requireOnce(long lengthNanos, long nowNanos) {
        lastRequiredNanos.merge(lengthNanos, nowNanos, Math::max);
    }

    /** Returns the longest length that is kept. */
    long nanos() {
        return lastRequiredNanos.lastKey();
    }
}
