package org.bronzelug.router.control;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks at intervals that no watch is lost, by asking the platform for changes that this VM's
 * watches should have returned.
 *
 * <p>Without this, a watch that the platform never received looks like a watch without changes: the
 * platform falls silent just as all VMs send their next watch, and a withdrawn key stays valid on
 * all VMs until those watches time out. One VM checks on behalf of the whole fleet, since the
 * others read from any peer that is ahead of them.
 *
 * <p>Invariant: one check is in progress at a time, and it asks for one kind at a time. Confined to
 * the control thread.
 */
final class WatchCheck {
    private static final long MINIMUM_PERIOD_MILLIS = 250;

    /**
     * Number of checks within the time in which a change must be in force everywhere: the second
     * half of that time is for propagating the change.
     */
    private static final int CHECKS_PER_CHANGE = 2;

    private static final long UNKNOWN_REVISION = Long.MAX_VALUE;

    private final ControlState state;
    private final List<String> kinds;
    private final Map<String, KindWatch> watches;
    private final long periodNanos;
    private boolean checkInProgress;
    private long checkStartNanos;

    /**
     * @param kinds kinds whose watches are checked
     * @param changeMillis time in which a change must be in force everywhere
     */
    WatchCheck(
            ControlState state,
            List<String> kinds,
            Map<String, KindWatch> watches,
            long changeMillis) {
        this.state = state;
        this.kinds = List.copyOf(kinds);
        this.watches = watches;
        long periodMillis = Math.max(MINIMUM_PERIOD_MILLIS, changeMillis / CHECKS_PER_CHANGE);
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.checkStartNanos = System.nanoTime();
    }

    /** Begins a check if the period has passed since the last one began and that one has ended. */
    void round() {
        long nowNanos = System.nanoTime();
        if (checkInProgress || nowNanos - checkStartNanos < periodNanos) {
            return;
        }
        checkStartNanos = nowNanos;
        checkInProgress = true;
        checkNext(kinds.iterator(), UNKNOWN_REVISION);
    }

    /**
     * Checks the next kind that may have changed. The platform's revision counts the changes of all
     * kinds, so a kind whose mirror is at the platform's revision has not changed.
     */
    private void checkNext(Iterator<String> remainingKinds, long platformRevision) {
        while (remainingKinds.hasNext()) {
            String kind = remainingKinds.next();
            KindWatch watch = watches.get(kind);
            if (watch.isWatching() && state.mirror(kind).revision() < platformRevision) {
                watch.check()
                        .whenComplete(
                                (revision, failure) ->
                                        onChecked(remainingKinds, revision, failure));
                return;
            }
        }
        checkInProgress = false;
    }

    private void onChecked(Iterator<String> remainingKinds, Long revision, Throwable failure) {
        if (failure == null) {
            checkNext(remainingKinds, revision);
        } else {
            checkInProgress = false;
        }
    }
}
