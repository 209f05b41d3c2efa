package org.bronzelug.router.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StallDetector;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.core.stream.VersionHistory;

/**
 * The software versions that pools with resumable streams have had for as long as a stream can
 * last: as this VM has watched them, as a peer has passed them on, and as the platform stores them.
 *
 * <p>Invariant: after a stall of this VM they count as incomplete, until a stream can't last any
 * longer or what may have been missed was read from the platform. Confined to the traffic thread.
 */
public final class PoolVersions {
    private final VersionHistory history = new VersionHistory();
    private final StallDetector stalls = new StallDetector();
    private final long graceNanos;
    private Set<String> pools = Set.of();
    private final StreamWindow window;
    private final Map<String, Set<String>> storedByPool = new HashMap<>();
    private final Set<String> unstoredPools = new HashSet<>();
    private Optional<RecentVersions> stored = Optional.empty();

    /**
     * @param graceMillis time for which a caller may resume a stream after its time limit
     */
    PoolVersions(long graceMillis) {
        graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
        window = new StreamWindow(graceNanos, System.nanoTime());
    }

    /**
     * Applies the list of endpoints.
     *
     * @param listCurrent whether the list is known to be current
     * @param resumableRoutes the routes whose streams can be resumed
     */
    void update(
            Collection<EndpointEntry> endpoints,
            boolean listCurrent,
            Collection<Route> resumableRoutes) {
        long nowNanos = System.nanoTime();
        stalls.recordUpdate(nowNanos, System.currentTimeMillis());
        Map<String, Set<String>> versions = new HashMap<>();
        long longestMillis = 0;
        for (Route route : resumableRoutes) {
            longestMillis = Math.max(longestMillis, route.timeoutMillis());
            route.pools().forEach(pool -> versions.put(pool.pool(), new HashSet<>()));
        }
        window.require(TimeUnit.MILLISECONDS.toNanos(longestMillis) + graceNanos, nowNanos);
        for (EndpointEntry entry : endpoints) {
            Optional.ofNullable(versions.get(entry.pool()))
                    .ifPresent(listed -> listed.add(entry.softwareVersion()));
        }
        pools = Set.copyOf(versions.keySet());
        history.update(versions, listCurrent, nowNanos);
        adoptStored(nowNanos);
        updateUnstored();
    }

    private void updateUnstored() {
        unstoredPools.clear();
        for (String pool : pools) {
            if (!recent(pool).stream().allMatch(version -> isStored(pool, version))) {
                unstoredPools.add(pool);
            }
        }
    }

    /**
     * Adopts the versions that the fleet had before this VM started.
     *
     * @param versions all versions that each pool has had for as long as a stream can last
     */
    public void adopt(RecentVersions versions) {
        stored = Optional.of(versions);
        long nowNanos = System.nanoTime();
        window.requireOnce(TimeUnit.MILLISECONDS.toNanos(versions.windowMillis()), nowNanos);
    }

    /**
     * Records which versions of a pool the platform keeps.
     *
     * @param added those that it did not keep before, as far as this VM knew
     */
    public void recordStored(String pool, Set<String> versions, Set<String> added) {
        storedByPool.put(pool, Set.copyOf(versions));
        history.recordListed(pool, added, System.nanoTime());
        updateUnstored();
    }

    /**
     * Returns whether VMs that all restart would know of the version; true if it is not known what
     * the platform keeps.
     */
    public boolean isStored(String pool, String softwareVersion) {
        Set<String> known = storedByPool.get(pool);
        return known == null || known.contains(softwareVersion);
    }

    /** Returns whether the platform does not keep all recent versions of a pool yet. */
    public boolean hasUnstored(String pool) {
        return unstoredPools.contains(pool);
    }

    private void adoptStored(long nowNanos) {
        if (pools.isEmpty() || stored.isEmpty()) {
            return;
        }
        Map<String, Set<String>> adopted = stored.get().byPool();
        long coveredNanos = TimeUnit.MILLISECONDS.toNanos(stored.get().windowMillis());
        stored = Optional.empty();
        // A pool without stored versions may have had any.
        if (!adopted.keySet().containsAll(pools)) {
            return;
        }
        List<VersionHistory.ListedVersion> listed = new ArrayList<>();
        adopted.forEach(
                (pool, versions) ->
                        versions.forEach(
                                version ->
                                        listed.add(
                                                new VersionHistory.ListedVersion(
                                                        pool, version, 0))));
        history.adopt(coveredNanos, listed, nowNanos);
    }

    /**
     * Records that the platform was read: what it keeps now, while the list of endpoints was
     * applied. A stall counts no longer, unless the platform keeps a version that this VM does not
     * know as a recent one, which has come and gone meanwhile.
     */
    void recordRead(RecentVersions current) {
        boolean caughtUp =
                pools.stream().allMatch(pool -> isComplete(current, pool) && hasAll(pool, current));
        if (caughtUp) {
            stalls.recordCaughtUp(System.nanoTime(), System.currentTimeMillis());
        }
    }

    private boolean hasAll(String pool, RecentVersions current) {
        return recent(pool).containsAll(current.byPool().get(pool));
    }

    /** Returns whether stored versions of a pool are all that it has had. */
    boolean isComplete(RecentVersions current, String pool) {
        long windowMillis = TimeUnit.NANOSECONDS.toMillis(window.nanos());
        return current.byPool().containsKey(pool) && current.windowMillis() >= windowMillis;
    }

    /** Returns the recent versions of each pool that has had any. */
    public RecentVersions recent() {
        Map<String, Set<String>> recent = new HashMap<>();
        for (String pool : pools) {
            Set<String> versions = recent(pool);
            if (!versions.isEmpty()) {
                recent.put(pool, versions);
            }
        }
        long windowMillis = TimeUnit.NANOSECONDS.toMillis(window.nanos());
        return new RecentVersions(recent, windowMillis, isWatched());
    }

    /** Returns the recent versions of a pool, as far as they are known. */
    Set<String> recent(String pool) {
        return history.versions(pool, window.nanos(), System.nanoTime());
    }

    /** Returns what this VM knows of a stream and of the versions of its pool, if it has one. */
    OriginEvidence.Answer answer(Optional<StreamOrigin> origin, Optional<String> pool) {
        return new OriginEvidence.Answer(
                origin, pool.map(this::recent).orElse(Set.of()), isWatched());
    }

    /** Returns whether the recent versions are all that there were. */
    public boolean isWatched() {
        long nowNanos = System.nanoTime();
        return history.isWatched(window.nanos(), nowNanos) && !hasStalled(nowNanos);
    }

    private boolean hasStalled(long nowNanos) {
        return stalls.hasStalled(window.nanos(), nowNanos, System.currentTimeMillis());
    }

    /** Returns the time until the recent versions are all that there were; 0 if they are. */
    long unwatchedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(
                history.unwatchedNanos(window.nanos(), System.nanoTime()));
    }

    /** Returns whether a pool has had a single version, so that it has begun all streams. */
    boolean hasSole(String pool) {
        return history.hasSoleVersion(pool, window.nanos(), System.nanoTime());
    }

    /**
     * Returns for how long this VM has watched the list without a gap, for a VM that has just
     * started; 0 after a stall.
     */
    public long watchedNanos() {
        long nowNanos = System.nanoTime();
        return hasStalled(nowNanos) ? 0 : history.watchedNanos(nowNanos);
    }

    /** Returns what this VM has watched, for a VM that has just started. */
    public VersionHistory history() {
        return history;
    }
}
