package org.bronzelug.router.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * The endpoints in use, from the platform's list, and the weights that were observed at them.
 *
 * <p>During an outage of the platform, entries of endpoints that are alive expire; they reappear
 * within about two seconds after it. Without the rule below, every request is rejected after an
 * outage although all endpoints are alive, because the first list is empty.
 *
 * <p>An entry expires after {@link #SILENT_REPORTS} reports that the platform has not received, so
 * no shorter loss of contact is an outage. After a shorter one, as when a watch is cut, an entry is
 * missing because its endpoint has left, at the earliest when the contact was lost, unless an
 * outage before that has gone unnoticed. Requests may go to such an endpoint for {@link
 * #MISSING_ENTRY_NANOS} after it has left.
 *
 * <p>Invariant: an endpoint whose entry is missing stays in use, unless it was draining, until
 * {@link #MISSING_ENTRY_NANOS} after the end of an outage, or {@link #SENDING_NANOS} less than that
 * after the begin of a shorter loss of contact. Then, and at any other time, a missing entry
 * removes the endpoint. Confined to the control thread.
 */
public final class EndpointList {
    /**
     * Entries of live endpoints reappear within about two seconds after an outage of the platform.
     */
    private static final long MISSING_ENTRY_NANOS = 2_000_000_000L;

    /** Time in which a request that has chosen an endpoint reaches it. */
    private static final long SENDING_NANOS = 200_000_000L;

    /**
     * Reports in a row that the platform does not receive from an endpoint before its entry expires
     * during an outage. The platform waits for one more, which may have been due just before.
     */
    private static final int SILENT_REPORTS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, EndpointEntry> inUse = new HashMap<>();
    private final Map<String, Long> missingUntil = new HashMap<>();
    private final Map<String, Map<String, Long>> observedWeights = new HashMap<>();
    private Optional<Map<String, EndpointEntry>> entries = Optional.empty();
    private final long shortestOutageNanos;

    /** From when missing entries are kept for {@link #MISSING_ENTRY_NANOS}. */
    private long outageEndNanos = Long.MIN_VALUE;

    /**
     * @param reportMillis interval at which endpoints renew their entries
     */
    EndpointList(long reportMillis) {
        shortestOutageNanos = SILENT_REPORTS * reportMillis * NANOS_PER_MILLI;
    }

    /**
     * Records that this VM reaches the platform again.
     *
     * @param lostSinceNanos since when it may not have reached the platform
     */
    void recordContactRegained(long lostSinceNanos, long nowNanos) {
        boolean outage = nowNanos - lostSinceNanos >= shortestOutageNanos;
        keepMissingFrom(outage ? nowNanos : lostSinceNanos - SENDING_NANOS);
    }

    /**
     * Records that the peer that this VM reads from keeps missing entries.
     *
     * @param ageMillis how long ago the outage ended, as the peer's {@link #recoveryAgeMillis}
     */
    void recordPlatformRecovery(long ageMillis, long nowNanos) {
        keepMissingFrom(nowNanos - ageMillis * NANOS_PER_MILLI);
    }

    private void keepMissingFrom(long nanos) {
        if (outageEndNanos == Long.MIN_VALUE || nanos > outageEndNanos) {
            outageEndNanos = nanos;
        }
    }

    /**
     * Returns how long ago the last outage of the platform ended, or a shorter loss of contact
     * counts as one that has ended; empty where that no longer affects missing entries.
     */
    OptionalLong recoveryAgeMillis(long nowNanos) {
        return isRecentlyRecovered(nowNanos)
                ? OptionalLong.of((nowNanos - outageEndNanos) / NANOS_PER_MILLI)
                : OptionalLong.empty();
    }

    private boolean isRecentlyRecovered(long nowNanos) {
        return outageEndNanos != Long.MIN_VALUE && nowNanos - outageEndNanos < MISSING_ENTRY_NANOS;
    }

    /** Replaces the endpoints in use by a complete list. */
    void update(Map<String, EndpointEntry> listed, long nowNanos) {
        boolean recovered = isRecentlyRecovered(nowNanos);
        for (EndpointEntry entry : Map.copyOf(inUse).values()) {
            if (listed.containsKey(entry.id())) {
                missingUntil.remove(entry.id());
            } else if (recovered && !entry.draining()) {
                missingUntil.putIfAbsent(entry.id(), outageEndNanos + MISSING_ENTRY_NANOS);
            } else if (!missingUntil.containsKey(entry.id())) {
                remove(entry.id());
            }
        }
        listed.values().forEach(this::put);
        expire(nowNanos);
    }

    /** Returns when the next endpoint is to be removed by {@link #expire}; empty if none is. */
    OptionalLong nextExpiryNanos() {
        return missingUntil.values().stream().mapToLong(Long::longValue).min();
    }

    /**
     * Removes endpoints whose entries have not reappeared in time.
     *
     * @return whether any was removed
     */
    boolean expire(long nowNanos) {
        boolean removed = false;
        for (Map.Entry<String, Long> missing : Map.copyOf(missingUntil).entrySet()) {
            if (nowNanos - missing.getValue() >= 0) {
                remove(missing.getKey());
                removed = true;
            }
        }
        return removed;
    }

    private void put(EndpointEntry entry) {
        entries = Optional.empty();
        EndpointEntry previous = inUse.put(entry.id(), entry);
        if (previous != null && !previous.isSameStart(entry)) {
            observedWeights.remove(entry.id());
        }
    }

    private void remove(String id) {
        entries = Optional.empty();
        inUse.remove(id);
        missingUntil.remove(id);
        observedWeights.remove(id);
    }

    /**
     * Records weights observed at an endpoint before its entry shows them, unless the model's name
     * may not be recorded.
     *
     * @return whether the version is newer than the known one
     */
    public boolean recordWeights(String id, long bornMillis, String model, long version) {
        EndpointEntry entry = inUse.get(id);
        if (entry == null || entry.bornMillis() != bornMillis) {
            return false;
        }
        Map<String, Long> observed = observedWeights.computeIfAbsent(id, key -> new HashMap<>());
        if (!entry.mayRecordWeights(model, observed.keySet())) {
            return false;
        }
        long latest =
                Math.max(entry.weights().getOrDefault(model, 0L), observed.getOrDefault(model, 0L));
        if (version <= latest) {
            return false;
        }
        observed.put(model, version);
        entries = Optional.empty();
        return true;
    }

    /**
     * Returns all endpoints by id, each with the newest known version of its weights. The same map
     * is returned until one of them changes.
     */
    Map<String, EndpointEntry> entries() {
        if (entries.isEmpty()) {
            Map<String, EndpointEntry> newEntries = new HashMap<>();
            inUse.forEach((id, entry) -> newEntries.put(id, withObservedWeights(entry)));
            entries = Optional.of(Map.copyOf(newEntries));
        }
        return entries.get();
    }

    /** Returns the endpoints in use by id, each with the weights of its entry. */
    Map<String, EndpointEntry> inUse() {
        return inUse;
    }

    /** Returns the weights that are newer than those in the entries, by endpoint and model. */
    Map<String, Map<String, Long>> observedWeights() {
        return observedWeights;
    }

    private EndpointEntry withObservedWeights(EndpointEntry entry) {
        if (!observedWeights.containsKey(entry.id())) {
            return entry;
        }
        Map<String, Long> weights = new HashMap<>(entry.weights());
        observedWeights
                .getOrDefault(entry.id(), Map.of())
                .forEach((model, version) -> weights.merge(model, version, Math::max));
        return new EndpointEntry(
                entry.id(),
                entry.pool(),
                entry.address(),
                entry.availabilityZone(),
                entry.softwareVersion(),
                entry.slots(),
                entry.draining(),
                entry.bornMillis(),
                weights);
    }
}
