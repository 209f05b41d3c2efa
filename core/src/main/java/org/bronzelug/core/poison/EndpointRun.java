package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests of this VM at one start of an endpoint, as far as they have parts that may crash it.
 *
 * <p>Invariant: a part counts as survived only if the endpoint was alive at least {@link
 * #SURVIVAL_NANOS} after it began to respond to a request with the part. The end of a response does
 * not show that: an endpoint may crash right after it. Not thread-safe.
 */
public final class EndpointRun {
    /** An endpoint that lives for this long after the begin of a response has survived it. */
    static final long SURVIVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time before a crash in which a request that was broken off may have caused it. */
    private static final long BROKEN_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time after which a request whose outcome was never seen is forgotten. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final EndpointStart start;
    private final String pool;
    private final String softwareVersion;
    private final List<WatchedAttempt> attempts = new ArrayList<>();
    private final Set<WatchedAttempt> unfinished = new HashSet<>();
    private OptionalLong lastActivityNanos = OptionalLong.empty();
    private OptionalLong lastConnectedNanos = OptionalLong.empty();

    public EndpointRun(EndpointStart start, String pool, String softwareVersion) {
        this.start = start;
        this.pool = pool;
        this.softwareVersion = softwareVersion;
    }

    public EndpointStart start() {
        return start;
    }

    String softwareVersion() {
        return softwareVersion;
    }

    /** Adds an attempt, whether or not it has parts that may crash the endpoint. */
    void add(WatchedAttempt watched) {
        unfinished.add(watched);
        if (!watched.parts().isEmpty()) {
            attempts.add(watched);
        }
    }

    /** Removes an attempt that the endpoint has responded to completely, or has not run. */
    void removeUnfinished(WatchedAttempt watched) {
        unfinished.remove(watched);
    }

    /** Returns whether no request here may show anything any more. */
    boolean isIdle() {
        return attempts.isEmpty() && unfinished.isEmpty();
    }

    /** Records that the endpoint has sent something. */
    void recordActivity(long nowNanos) {
        lastActivityNanos = OptionalLong.of(nowNanos);
    }

    /** Records that an idle connection to the endpoint is open, which a crash would close. */
    public void recordConnected(long nowNanos) {
        lastConnectedNanos = OptionalLong.of(nowNanos);
    }

    /** Restarts the time that the endpoint must live, since this VM has not seen all of it. */
    void restartSurvival(long nowNanos) {
        attempts.forEach(watched -> watched.restartSurvival(nowNanos));
    }

    /**
     * Passes on the parts that the endpoint has survived, and drops attempts that ended long ago.
     */
    void sweep(Consumer<PartKey> onSurvived, long nowNanos) {
        unfinished.removeIf(watched -> watched.isEndedBefore(nowNanos - SURVIVAL_NANOS));
        attempts.removeIf(
                watched -> {
                    if (isSurvived(watched)) {
                        watched.parts().forEach(onSurvived);
                        watched.recordSurvived();
                        return true;
                    }
                    long keptNanos = watched.isBegun() ? FORGET_NANOS : SURVIVAL_NANOS;
                    return watched.isEndedBefore(nowNanos - keptNanos);
                });
    }

    private boolean isSurvived(WatchedAttempt watched) {
        return watched.isSurvivedAt(lastActivityNanos)
                || watched.isComplete() && watched.isSurvivedAt(lastConnectedNanos);
    }

    /**
     * Returns the crash of the endpoint, with the requests in progress there and the parts that may
     * have caused it.
     *
     * @param harmless returns whether a part is known not to crash the endpoint
     * @param lostNanos when a connection to it was lost; empty if none was, so that it crashed at
     *     some time after it was last seen alive
     */
    EndpointCrash crash(Predicate<PartKey> harmless, OptionalLong lostNanos, long nowNanos) {
        long crashNanos = lostNanos.orElse(lastAliveNanos().orElse(nowNanos));
        Map<PartKey, Involvement> suspects = new HashMap<>();
        for (WatchedAttempt watched : attempts) {
            if (watched.isWritten() && !watched.isEndedBefore(crashNanos - SURVIVAL_NANOS)) {
                Involvement involvement = watched.involvement(crashNanos);
                watched.parts().stream()
                        .filter(harmless.negate())
                        .forEach(part -> suspects.merge(part, involvement, Involvement::first));
            }
        }
        Set<PartKey> requests = new HashSet<>();
        for (WatchedAttempt watched : unfinished) {
            if (watched.isWritten() && !watched.isEndedBefore(crashNanos - BROKEN_OFF_NANOS)) {
                requests.add(watched.request());
            }
        }
        attempts.clear();
        unfinished.clear();
        return new EndpointCrash(start, pool, softwareVersion, crashNanos, suspects, requests);
    }

    private OptionalLong lastAliveNanos() {
        boolean connectedLater =
                lastConnectedNanos.isPresent()
                        && (lastActivityNanos.isEmpty()
                                || lastConnectedNanos.getAsLong() - lastActivityNanos.getAsLong()
                                        > 0);
        return connectedLater ? lastConnectedNanos : lastActivityNanos;
    }

    /** Returns the parts of requests with an open outcome that have begun, or have not. */
    Set<PartKey> open(boolean begun, long afterNanos, long nowNanos) {
        Set<PartKey> parts = new HashSet<>();
        for (WatchedAttempt watched : attempts) {
            if (watched.isOpen(afterNanos, nowNanos) && watched.isBegun() == begun) {
                parts.addAll(watched.parts());
            }
        }
        return parts;
    }
}
