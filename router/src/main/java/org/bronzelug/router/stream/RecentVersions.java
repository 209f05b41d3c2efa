package org.bronzelug.router.stream;

import java.util.Map;
import java.util.Set;

/**
 * The software versions that pools with resumable streams have had within a window. Immutable.
 *
 * @param byPool the versions of each pool that has had any
 * @param windowMillis the window, for as long as a stream can last
 * @param complete whether these are all versions of the window
 */
public record RecentVersions(Map<String, Set<String>> byPool, long windowMillis, boolean complete) {
    public RecentVersions {
        byPool = Map.copyOf(byPool);
    }

    /** Nothing is known of any pool. */
    public static RecentVersions none() {
        return new RecentVersions(Map.of(), 0, false);
    }
}
