package org.bronzelug.core.poison;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The requests under which endpoints have ended, and those of them that are no longer sent since
 * {@link #MAXIMUM_ENDS} endpoints have.
 *
 * <p>Unlike a part, a request needs no further evidence: it has had several attempts, and one more
 * may cost an endpoint with all requests that run there. A whole response to the request clears it.
 *
 * <p>Invariants: each start of an endpoint counts once. What was reported of a request before it
 * was cleared does not count again. At most {@link #MAXIMUM_REQUESTS} requests are kept, those at
 * the latest crashes. Not thread-safe.
 */
public final class RequestQuarantine {
    /** Endpoints that may end under a request before it is sent no more. */
    public static final int MAXIMUM_ENDS = 3;

    /** Some 2 MB: an endpoint runs some hundred requests at most. */
    static final int MAXIMUM_REQUESTS = 4_096;

    /** Longer than callers repeat a request. */
    static final long VALID_NANOS = TimeUnit.MINUTES.toNanos(2);

    /** Bounds the state updates, which contain all quarantines. */
    static final int MAXIMUM_QUARANTINES = 32;

    private final LinkedHashMap<PartKey, Ends> requests = new LinkedHashMap<>();
    private final LinkedHashMap<PartKey, Long> clearedNanos = new LinkedHashMap<>();
    private final PartQuarantine quarantine = new PartQuarantine(MAXIMUM_QUARANTINES);

    /** The endpoints that have ended under one request. */
    private static final class Ends {
        private final Set<EndpointStart> starts = new HashSet<>();
        private final Set<String> softwareVersions = new HashSet<>();
        private long lastNanos;
    }

    boolean isEmpty() {
        return requests.isEmpty() && quarantine.isEmpty();
    }

    /**
     * Records that an endpoint has ended under a request.
     *
     * @return the quarantine of the request, if this end is the reason for it
     */
    Optional<QuarantinedParts> record(PartKey request, EndpointCrash crash, long nowNanos) {
        if (isClearedSince(request, crash.atNanos())) {
            return Optional.empty();
        }
        Ends ends = Optional.ofNullable(requests.remove(request)).orElseGet(Ends::new);
        requests.put(request, ends);
        if (requests.size() > MAXIMUM_REQUESTS) {
            requests.pollFirstEntry();
        }
        ends.starts.add(crash.start());
        ends.softwareVersions.add(crash.softwareVersion());
        ends.lastNanos = nowNanos;
        if (ends.starts.size() < MAXIMUM_ENDS || match(request, nowNanos).isPresent()) {
            return Optional.empty();
        }
        QuarantinedParts added =
                new QuarantinedParts(
                        Set.of(request),
                        ends.softwareVersions,
                        nowNanos,
                        nowNanos + VALID_NANOS,
                        1,
                        true);
        quarantine.adopt(added, nowNanos);
        return Optional.of(added);
    }

    /** Returns the number of endpoints that have ended under a request, as far as is known. */
    int ends(PartKey request) {
        Ends ends = requests.get(request);
        return ends == null ? 0 : ends.starts.size();
    }

    /** Returns the quarantine of a request; empty if it may be sent. */
    Optional<QuarantinedParts> match(PartKey request, long nowNanos) {
        return quarantine.match(Set.of(request), nowNanos);
    }

    /** Returns whether a request under quarantine was at a crash. */
    boolean explains(EndpointCrash crash, long nowNanos) {
        return crash.requests().stream().anyMatch(key -> match(key, nowNanos).isPresent());
    }

    /** Adopts what another VM or the platform knows; returns whether it is new. */
    boolean adopt(QuarantinedParts known, long nowNanos) {
        boolean cleared =
                known.parts().stream().anyMatch(part -> isClearedSince(part, known.sinceNanos()));
        return !cleared && quarantine.adopt(known, nowNanos);
    }

    /** Returns whether a request was cleared later, which the VM that reports may not know yet. */
    private boolean isClearedSince(PartKey request, long nanos) {
        Long cleared = clearedNanos.get(request);
        return cleared != null && cleared - nanos >= 0;
    }

    /** Returns whether the request has been at a crash, or is under quarantine. */
    boolean isKnown(PartKey request) {
        return requests.containsKey(request) || quarantine.isSuspect(request);
    }

    /**
     * Clears a request, since an endpoint has responded to it completely.
     *
     * @return the quarantine that the request was under, if it was
     */
    Optional<QuarantinedParts> clear(PartKey request, long nowNanos) {
        requests.remove(request);
        clearedNanos.putLast(request, nowNanos);
        if (clearedNanos.size() > MAXIMUM_REQUESTS) {
            clearedNanos.pollFirstEntry();
        }
        return quarantine.remove(Set.of(request));
    }

    /** Forgets what no longer counts. */
    void expire(long nowNanos) {
        requests.values().removeIf(ends -> nowNanos - ends.lastNanos > VALID_NANOS);
        clearedNanos.values().removeIf(cleared -> nowNanos - cleared > VALID_NANOS);
        quarantine.expire(nowNanos);
    }

    List<QuarantinedParts> entries() {
        return quarantine.entries();
    }
}
