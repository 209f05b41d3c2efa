package org.bronzelug.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the confirmations of one announced configuration change and decides when the change is in
 * force, that is, when a majority of the roster holds it.
 *
 * <p>The announcing VM asks all VMs in two rounds. A VM counts only if it is caught up and the same
 * incarnation confirms in both rounds, and the second round begins after the first has collected a
 * majority. So each counted VM held the change when the second round began, and a majority held it
 * at that one moment.
 *
 * <p>Without the second round, a VM could confirm, restart, lose what it had confirmed, catch up
 * from VMs that have not received the change yet, and still be counted. The change would be
 * reported as in force while a majority of VMs without it keeps serving.
 *
 * <p>Not thread-safe: the caller synchronizes access.
 */
public final class Announcement {
    private final int requiredConfirmations;
    private final Map<String, String> firstRound = new HashMap<>();
    private final Map<String, String> secondRound = new HashMap<>();

    /**
     * @param majority number of VMs that make a majority of the roster
     * @param selfCaughtUp whether the announcing VM is caught up and so counts as one of the
     *     majority
     */
    public Announcement(int majority, boolean selfCaughtUp) {
        this.requiredConfirmations = majority - (selfCaughtUp ? 1 : 0);
    }

    /** Records a confirmation of the first round; ignored unless the VM is caught up. */
    public void confirmFirst(String vm, String incarnation, boolean caughtUp) {
        if (caughtUp) {
            firstRound.put(vm, incarnation);
        }
    }

    /** Records a confirmation of the second round, requested after the first round was complete. */
    public void confirmSecond(String vm, String incarnation, boolean caughtUp) {
        if (caughtUp && incarnation.equals(firstRound.get(vm))) {
            secondRound.put(vm, incarnation);
        }
    }

    /** Returns whether enough VMs have confirmed in the first round to begin the second. */
    public boolean isFirstRoundComplete() {
        return firstRound.size() >= requiredConfirmations;
    }

    /** Returns whether a majority held the change at one moment. */
    public boolean isInForce() {
        return secondRound.size() >= requiredConfirmations;
    }
}
