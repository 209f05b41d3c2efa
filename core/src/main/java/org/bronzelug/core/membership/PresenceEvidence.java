package org.bronzelug.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells VMs that are gone from those that are only cut off. A VM that can't reach most of the fleet
 * renews its entry at the platform, which both sides of a cut reach; a VM that is gone does not.
 *
 * <p>Invariant: a VM is gone only if its entry was the same in two reads, the second of which began
 * {@link #GONE_NANOS} or more after the first had ended. A VM that has not renewed its entry for
 * {@link #PRESENT_NANOS} must therefore expect to be taken for gone. Not thread-safe: guarded by
 * its owner. Times are the local monotonic clock's nanoseconds.
 */
public final class PresenceEvidence {
    /** Time for which the entry of a VM that is gone is not renewed. */
    public static final long GONE_NANOS = 8_000_000_000L;

    /** Time after the last renewal of its entry for which a VM is taken for present. */
    public static final long PRESENT_NANOS = 7_000_000_000L;

    private static final long NO_ENTRY = 0;

    private final Map<String, Entry> entries = new HashMap<>();

    /** Forgets the entries of VMs that are heard: what was read before says nothing any more. */
    public void retain(Set<String> unheard) {
        entries.keySet().retainAll(unheard);
    }

    /**
     * Records a read of the entries.
     *
     * @param unheard VMs from which no state update arrives
     * @param revisions the revision of each VM's entry
     * @param startNanos when the read began
     * @param endNanos when the read ended
     * @return those of the VMs that are gone
     */
    public Set<String> record(
            Set<String> unheard, Map<String, Long> revisions, long startNanos, long endNanos) {
        retain(unheard);
        Set<String> gone = new HashSet<>();
        for (String vm : unheard) {
            long revision = revisions.getOrDefault(vm, NO_ENTRY);
            Entry known = entries.get(vm);
            if (known == null || known.revision != revision) {
                entries.put(vm, new Entry(revision, endNanos));
            } else if (startNanos - known.readNanos >= GONE_NANOS) {
                gone.add(vm);
            }
        }
        return gone;
    }

    /**
     * A VM's entry.
     *
     * @param readNanos when the first read ended that found this revision
     */
    private record Entry(long revision, long readNanos) {}
}
