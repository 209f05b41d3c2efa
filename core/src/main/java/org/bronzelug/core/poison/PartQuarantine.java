package org.bronzelug.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The quarantines: sets of parts that crash endpoints if a request contains all parts of a set.
 *
 * <p>One more crash under the parts confirms a quarantine. Until then requests are sent to test it,
 * since a wrong quarantine would reject all requests that could refute it. A part that an endpoint
 * survives leaves its quarantines, and a quarantine without parts ends. Otherwise it ends after a
 * time, which doubles each time. An ended quarantine is kept for as long again: its parts are
 * suspected, and one more crash renews it. One crash also suffices for parts that are under
 * quarantine in another pool.
 *
 * <p>Invariant: no quarantine contains a part that an endpoint of the same software version has
 * survived since. At most a given number are kept. Not thread-safe.
 */
final class PartQuarantine {
    static final long FIRST_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Ten minutes doubled seven times are about a day. */
    private static final int MAXIMUM_DOUBLINGS = 7;

    /** Keeps the count in range; the length of a quarantine stops doubling before. */
    private static final int MAXIMUM_TIMES = 1_000;

    static final int MAXIMUM_ENTRIES = 64;

    private final int maximumEntries;
    private final List<QuarantinedParts> entries = new ArrayList<>();

    PartQuarantine() {
        this(MAXIMUM_ENTRIES);
    }

    PartQuarantine(int maximumEntries) {
        this.maximumEntries = maximumEntries;
    }

    /** Puts parts under quarantine, for longer if they have been before. */
    QuarantinedParts add(Set<PartKey> parts, Set<String> softwareVersions, long nowNanos) {
        int before = find(parts).map(QuarantinedParts::times).orElse(0);
        int times = 1 + Math.min(before, MAXIMUM_TIMES);
        long lengthNanos = FIRST_NANOS << Math.min(times - 1, MAXIMUM_DOUBLINGS);
        QuarantinedParts added =
                new QuarantinedParts(
                        parts,
                        softwareVersions,
                        nowNanos,
                        nowNanos + lengthNanos,
                        times,
                        times > 1);
        put(added);
        return added;
    }

    /**
     * Adopts what another VM knows, or has stored; returns whether it is new. A stored quarantine
     * may come from another writer: one without parts would match every request.
     */
    boolean adopt(QuarantinedParts other, long nowNanos) {
        if (other.parts().isEmpty() || other.times() < 1) {
            return false;
        }
        Optional<QuarantinedParts> known = find(other.parts());
        boolean isNew =
                known.isEmpty()
                        || known.get().times() < other.times()
                        || !known.get().confirmed() && other.confirmed()
                        || !known.get().isInForce(nowNanos) && other.isInForce(nowNanos);
        if (isNew) {
            put(other);
        }
        return isNew;
    }

    private void put(QuarantinedParts entry) {
        entries.removeIf(known -> known.parts().equals(entry.parts()));
        entries.add(entry);
        if (entries.size() > maximumEntries) {
            entries.remove(0);
        }
    }

    private Optional<QuarantinedParts> find(Set<PartKey> parts) {
        return entries.stream().filter(entry -> entry.parts().equals(parts)).findFirst();
    }

    /** Returns the quarantine that a request with these parts falls under; empty if none. */
    Optional<QuarantinedParts> match(Collection<PartKey> parts, long nowNanos) {
        for (QuarantinedParts entry : entries) {
            if (entry.isInForce(nowNanos) && parts.containsAll(entry.parts())) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the part is in a quarantine, in force or ended. */
    boolean isSuspect(PartKey part) {
        return entries.stream().anyMatch(entry -> entry.parts().contains(part));
    }

    /** Returns whether all parts of a quarantine, in force or ended, are among these. */
    boolean covers(Set<PartKey> parts) {
        return entries.stream().anyMatch(entry -> parts.containsAll(entry.parts()));
    }

    /**
     * Confirms the quarantines of which all parts were at one more crash, or adds other parts to
     * them.
     *
     * @param present the parts that were at the crash
     * @param others those of them that were at other crashes as well
     * @return the quarantines that have changed
     */
    List<QuarantinedParts> confirm(Set<PartKey> present, Set<PartKey> others, long crashNanos) {
        List<QuarantinedParts> changed = new ArrayList<>();
        for (QuarantinedParts entry : List.copyOf(entries)) {
            boolean later = crashNanos - entry.sinceNanos() > 0;
            if (!entry.confirmed() && later && present.containsAll(entry.parts())) {
                Set<PartKey> all = new HashSet<>(entry.parts());
                all.addAll(others);
                entries.remove(entry);
                QuarantinedParts after =
                        all.equals(entry.parts())
                                ? entry.confirm()
                                : new QuarantinedParts(
                                        all,
                                        entry.softwareVersions(),
                                        crashNanos,
                                        entry.untilNanos(),
                                        entry.times(),
                                        false);
                put(after);
                changed.add(after);
            }
        }
        return changed;
    }

    /**
     * Returns a quarantine because of which one crash in a pool suffices for another: one of that
     * pool that has ended, or a confirmed one of another pool. Empty if there is none.
     *
     * @param present the parts of the pool that were at the crash
     * @return the quarantine, with its parts as those of the pool
     */
    Optional<QuarantinedParts> precedent(String pool, Collection<PartKey> present, long nowNanos) {
        for (QuarantinedParts entry : entries) {
            boolean counts = entry.isOf(pool) ? !entry.isInForce(nowNanos) : entry.confirmed();
            QuarantinedParts here = entry.in(pool);
            if (counts
                    && present.containsAll(here.parts())
                    && match(here.parts(), nowNanos).isEmpty()) {
                return Optional.of(here);
            }
        }
        return Optional.empty();
    }

    /**
     * Takes a part out of the quarantines since an endpoint has survived it.
     *
     * @return the quarantines that the part was in
     */
    List<QuarantinedParts> release(PartKey part, String softwareVersion, long nowNanos) {
        List<QuarantinedParts> found = new ArrayList<>();
        for (QuarantinedParts entry : List.copyOf(entries)) {
            if (!entry.parts().contains(part)
                    || !entry.softwareVersions().contains(softwareVersion)) {
                continue;
            }
            entries.remove(entry);
            found.add(entry);
            Set<PartKey> rest = new HashSet<>(entry.parts());
            rest.remove(part);
            if (!rest.isEmpty()) {
                put(
                        new QuarantinedParts(
                                rest,
                                entry.softwareVersions(),
                                nowNanos,
                                entry.untilNanos(),
                                entry.times(),
                                entry.confirmed()));
            }
        }
        return found;
    }

    /** Removes the quarantine of exactly these parts; returns it if there was one. */
    Optional<QuarantinedParts> remove(Set<PartKey> parts) {
        Optional<QuarantinedParts> known = find(parts);
        known.ifPresent(entries::remove);
        return known;
    }

    /** Removes the quarantines that have ended long ago. */
    void expire(long nowNanos) {
        entries.removeIf(
                entry -> {
                    long lengthNanos = entry.untilNanos() - entry.sinceNanos();
                    return nowNanos - entry.untilNanos() > lengthNanos;
                });
    }

    List<QuarantinedParts> entries() {
        return List.copyOf(entries);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }
}
