package org.bronzelug.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the confirmations of one announcement, and decides when it is in force.
 *
 * <p>Two rounds are asked for. The failure this guards against: a VM confirms, restarts and
 * forgets, settles again from VMs that have not heard yet, and is counted all the same; then a
 * majority that does not know the change serves on. A VM counts only if the same settled
 * incarnation confirms in both rounds, and the second begins after the first has ended; so at that
 * moment a majority held the change, all at once.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class Announcement {
    private final int needed;
    private final Map<String, String> first = new HashMap<>();
    private final Map<String, String> second = new HashMap<>();

    /**
     * @param majority of the roster
     * @param selfSettled whether the announcing VM counts for it
     */
    public Announcement(int majority, boolean selfSettled) {
        this.needed = majority - (selfSettled ? 1 : 0);
    }

    /** Notes a confirmation of the first round. */
    public void confirmFirst(String vm, String incarnation, boolean settled) {
        if (settled) {
            first.put(vm, incarnation);
        }
    }

    /** Notes a confirmation of the second round, asked for after the first was complete. */
    public void confirmSecond(String vm, String incarnation, boolean settled) {
        if (settled && incarnation.equals(first.get(vm))) {
            second.put(vm, incarnation);
        }
    }

    /** Whether the first round has confirmations enough to begin the second. */
    public boolean isFirstComplete() {
        return first.size() >= needed;
    }

    /** Whether a majority held the change at one moment. */
    public boolean isInForce() {
        return second.size() >= needed;
    }
}
