package org.bronzelug.router.control;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Asks the platform at intervals for changes that its watches should have told.
 *
 * <p>The failure that this prevents: the platform falls silent just as all VMs send their next
 * watch, and never receives it. A lost watch looks like one on which nothing happens, so a
 * withdrawn key stays valid on all VMs until the watches are given up. One VM asks for the whole
 * fleet, as the others read from a peer that is ahead of them. Confined to the control thread.
 */
final class WatchCheck {
    private static final long LEAST_PERIOD_MILLIS = 250;

    /** In each time in which a change must be in force: the second half is for spreading it. */
    private static final int CHECKS_PER_CHANGE = 2;

    private static final long UNKNOWN_REVISION = Long.MAX_VALUE;

    private final ControlState state;
    private final List<String> kinds;
    private final Map<String, KindWatch> watches;
    private final long periodNanos;
    private boolean underWay;
    private long beginNanos;

    /**
     * @param kinds whose watches are checked
     * @param changeMillis within which a change must be in force everywhere
     */
    WatchCheck(
            ControlState state,
            List<String> kinds,
            Map<String, KindWatch> watches,
            long changeMillis) {
        this.state = state;
        this.kinds = List.copyOf(kinds);
        this.watches = watches;
        long periodMillis = Math.max(LEAST_PERIOD_MILLIS, changeMillis / CHECKS_PER_CHANGE);
        this.periodNanos = TimeUnit.MILLISECONDS.toNanos(periodMillis);
        this.beginNanos = System.nanoTime();
    }

    /** Begins a check if it is time for one and the last has ended. */
    void round() {
        long nowNanos = System.nanoTime();
        if (underWay || nowNanos - beginNanos < periodNanos) {
            return;
        }
        beginNanos = nowNanos;
        underWay = true;
        checkNext(kinds.iterator(), UNKNOWN_REVISION);
    }

    /** Checks the next kind that may have changed: the platform counts changes of all kinds. */
    private void checkNext(Iterator<String> rest, long platformRevision) {
        while (rest.hasNext()) {
            String kind = rest.next();
            KindWatch watch = watches.get(kind);
            if (watch.isWaiting() && state.mirror(kind).revision() < platformRevision) {
                watch.check().whenComplete((revision, failure) -> checked(rest, revision, failure));
                return;
            }
        }
        underWay = false;
    }

    private void checked(Iterator<String> rest, Long revision, Throwable failure) {
        if (failure == null) {
            checkNext(rest, revision);
        } else {
            underWay = false;
        }
    }
}
