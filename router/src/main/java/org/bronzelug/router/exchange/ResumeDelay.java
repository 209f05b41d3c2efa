package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Delays the next attempt of a begun stream that no endpoint accepts now, a bounded number of
 * times.
 *
 * <p>Without this, a stream whose runner failed was broken off if the next runner began to load
 * weights at the same moment and rejected it, although runners accepted requests again within a
 * second. Callers tolerate a gap of at least two seconds. Confined to the traffic thread.
 */
final class ResumeDelay {
    /** Half of the event gap that callers tolerate; a delay lasts one round of state updates. */
    private static final int MAXIMUM_DELAYS = 7;

    private static final long DELAY_MILLIS = 150;

    private final EventLoop traffic;
    private int delays;

    ResumeDelay(EventLoop traffic) {
        this.traffic = traffic;
    }

    /**
     * Schedules another attempt, unless there were too many.
     *
     * @return whether the attempt is scheduled
     */
    boolean schedule(Runnable attempt) {
        if (delays >= MAXIMUM_DELAYS) {
            return false;
        }
        delays++;
        traffic.schedule(attempt, DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return true;
    }
}
