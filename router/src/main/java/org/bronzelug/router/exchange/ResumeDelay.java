package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Delays the next attempt of a begun stream that no endpoint accepts now.
 *
 * <p>The number of delays is not limited: the time limit of the request ends the attempts, as does
 * a caller that closes its connection because the gap between two events is too long for it. With a
 * limit, a stream was broken off while its runners loaded weights or no retry was available,
 * although its caller still waited. Confined to the traffic thread.
 */
final class ResumeDelay {
    /** One round of state updates. */
    private static final long DELAY_MILLIS = 150;

    private final EventLoop traffic;
    private Optional<String> lastReason = Optional.empty();

    ResumeDelay(EventLoop traffic) {
        this.traffic = traffic;
    }

    /**
     * Schedules another attempt.
     *
     * @param reason why the stream has no endpoint
     * @return whether the reason differs from that of the previous delay
     */
    boolean schedule(String reason, Runnable attempt) {
        traffic.schedule(attempt, DELAY_MILLIS, TimeUnit.MILLISECONDS);
        boolean changed = lastReason.filter(reason::equals).isEmpty();
        lastReason = Optional.of(reason);
        return changed;
    }
}
