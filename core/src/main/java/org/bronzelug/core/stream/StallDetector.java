package org.bronzelug.core.stream;

import java.util.concurrent.TimeUnit;

/**
 * Detects stalls of this VM from the times of its periodic updates by two clocks. The monotonic
 * clock shows a process that was stopped or starved; it may stand still itself while the machine is
 * suspended, which the clock of the day then shows.
 *
 * <p>Invariant: a gap that has not been followed by an update yet counts as well, so that what is
 * decided first after a stall takes it into account. Not thread-safe.
 */
public final class StallDetector {
    /** Longer than the period of updates of an idle VM in a large fleet, with some delay. */
    private static final long STALL_NANOS = 1_000_000_000L;

    private boolean updated;
    private long updateNanos;
    private long updateMillis;
    private boolean stalled;
    private long stallEndNanos;

    /**
     * Records an update.
     *
     * @param nowNanos the monotonic clock
     * @param nowMillis the clock of the day
     */
    public void recordUpdate(long nowNanos, long nowMillis) {
        if (isInGap(nowNanos, nowMillis)) {
            stalled = true;
            stallEndNanos = nowNanos;
        }
        updated = true;
        updateNanos = nowNanos;
        updateMillis = nowMillis;
    }

    /** Forgets earlier stalls, since what may have been missed meanwhile was read. */
    public void recordCaughtUp(long nowNanos, long nowMillis) {
        stalled = false;
        updateNanos = nowNanos;
        updateMillis = nowMillis;
    }

    /** Returns whether this VM has stalled within a window before now. */
    public boolean hasStalled(long windowNanos, long nowNanos, long nowMillis) {
        boolean lately = stalled && nowNanos - stallEndNanos < windowNanos;
        return lately || isInGap(nowNanos, nowMillis);
    }

    private boolean isInGap(long nowNanos, long nowMillis) {
        long clockNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis - updateMillis);
        return updated && Math.max(nowNanos - updateNanos, clockNanos) >= STALL_NANOS;
    }
}
