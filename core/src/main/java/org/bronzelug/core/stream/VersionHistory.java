package org.bronzelug.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which software versions each pool's endpoints have had, as long as this VM has watched the list
 * of endpoints without a gap.
 *
 * <p>Invariant: the versions of a window are all of them only if {@link #isWatched} for the window.
 * Not thread-safe.
 */
public final class VersionHistory {
    /**
     * A VM that starts gets a peer's report before its own list. Endpoints drain for longer than
     * this, so that no version starts and leaves in between.
     */
    private static final long ADOPTION_NANOS = 2_000_000_000L;

    /** Longer than any stream lasts. */
    private static final long RETENTION_NANOS = 600_000_000_000L;

    /**
     * A software version of a pool's endpoints. Immutable.
     *
     * @param ageNanos the time since an endpoint of the version was last listed
     */
    public record ListedVersion(String pool, String softwareVersion, long ageNanos) {}

    private final Map<String, Map<String, Long>> lastListedNanos = new HashMap<>();
    private OptionalLong watchedSinceNanos = OptionalLong.empty();
    private OptionalLong adoptedSinceNanos = OptionalLong.empty();
    private long adoptedAtNanos;

    /**
     * Records the list of endpoints.
     *
     * @param versions the software versions that are listed now, by pool
     * @param current whether the list is known to be current; otherwise the watch has a gap
     */
    public void update(Map<String, Set<String>> versions, boolean current, long nowNanos) {
        if (!current) {
            watchedSinceNanos = OptionalLong.empty();
        } else if (watchedSinceNanos.isEmpty()) {
            watchedSinceNanos = OptionalLong.of(firstWatchedNanos(nowNanos));
        }
        versions.forEach(
                (pool, listed) -> {
                    Map<String, Long> lastListed =
                            lastListedNanos.computeIfAbsent(pool, name -> new HashMap<>());
                    lastListed.values().removeIf(last -> nowNanos - last > RETENTION_NANOS);
                    listed.forEach(version -> lastListed.put(version, nowNanos));
                });
    }

    /** Returns since when the list is watched that is current from now on. */
    private long firstWatchedNanos(long nowNanos) {
        boolean recent = nowNanos - adoptedAtNanos < ADOPTION_NANOS;
        long since =
                adoptedSinceNanos.isPresent() && recent ? adoptedSinceNanos.getAsLong() : nowNanos;
        adoptedSinceNanos = OptionalLong.empty();
        return since;
    }

    /** Returns whether the list was watched for the whole window. */
    public boolean isWatched(long windowNanos, long nowNanos) {
        return unwatchedNanos(windowNanos, nowNanos) == 0;
    }

    /**
     * Returns whether the pool has had a single version within the window, so that it has begun all
     * of the pool's streams.
     */
    public boolean hasSoleVersion(String pool, long windowNanos, long nowNanos) {
        return isWatched(windowNanos, nowNanos)
                && versions(pool, windowNanos, nowNanos).size() == 1;
    }

    /** Returns the time until the list has been watched for the whole window; 0 if it has been. */
    public long unwatchedNanos(long windowNanos, long nowNanos) {
        return Math.max(0, windowNanos - watchedNanos(nowNanos));
    }

    /**
     * Adopts what another VM has watched until now.
     *
     * @param watchedNanos how long that VM has watched the list without a gap
     * @param listed the versions that it has seen
     */
    public void adopt(long watchedNanos, List<ListedVersion> listed, long nowNanos) {
        for (ListedVersion version : listed) {
            lastListedNanos
                    .computeIfAbsent(version.pool(), name -> new HashMap<>())
                    .merge(version.softwareVersion(), nowNanos - version.ageNanos(), Math::max);
        }
        long sinceNanos = nowNanos - watchedNanos;
        if (watchedSinceNanos.isPresent()) {
            watchedSinceNanos =
                    OptionalLong.of(Math.min(watchedSinceNanos.getAsLong(), sinceNanos));
        } else {
            adoptedSinceNanos =
                    OptionalLong.of(Math.min(adoptedSinceNanos.orElse(sinceNanos), sinceNanos));
            adoptedAtNanos = nowNanos;
        }
    }

    /** Records versions of a pool that another VM has seen just now. */
    public void recordListed(String pool, Set<String> versions, long nowNanos) {
        Map<String, Long> lastListed =
                lastListedNanos.computeIfAbsent(pool, name -> new HashMap<>());
        versions.forEach(version -> lastListed.put(version, nowNanos));
    }

    /** Returns how long the list has been watched without a gap. */
    public long watchedNanos(long nowNanos) {
        return watchedSinceNanos.isPresent() ? nowNanos - watchedSinceNanos.getAsLong() : 0;
    }

    /** Returns all versions seen, for a VM that has just started. */
    public List<ListedVersion> listedVersions(long nowNanos) {
        List<ListedVersion> listed = new ArrayList<>();
        lastListedNanos.forEach(
                (pool, versions) ->
                        versions.forEach(
                                (version, nanos) ->
                                        listed.add(
                                                new ListedVersion(
                                                        pool, version, nowNanos - nanos))));
        return listed;
    }

    /** Returns the versions that the pool has had within the window, as far as this VM has seen. */
    public Set<String> versions(String pool, long windowNanos, long nowNanos) {
        return lastListedNanos.getOrDefault(pool, Map.of()).entrySet().stream()
                .filter(listed -> nowNanos - listed.getValue() <= windowNanos)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
