package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Delays the next attempt of a begun stream that no endpoint accepts now.
 *
 * <p>The number of delays is not limited: the time limit of the request ends the attempts, as does
 * a caller that closes its connection because the gap between two events is too long for it. A
 * fixed number would break off a stream while its runners load weights or no retry is available,
 * although its caller still waits.
 *
 * <p>A stream first waits for an endpoint that is expected to accept it, then tries any, at longer
 * intervals. Otherwise its rejections would use up the retries before an endpoint accepts requests
 * again. Confined to the traffic thread.
 */
final class ResumeDelay {
    /** One round of state updates. */
    private static final long INITIAL_DELAY_MILLIS = 150;

    private static final long LATER_DELAY_MILLIS = 300;

    /** Half of the event gap that callers tolerate; runners load weights for less. */
    private static final long HEALTHY_ONLY_NANOS = 1_000_000_000L;

    private final EventLoop traffic;
    private Optional<String> lastReason = Optional.empty();
    private long startNanos;

    ResumeDelay(EventLoop traffic) {
        this.traffic = traffic;
    }

    /** Records that the stream has lost its endpoint. */
    void begin(long nowNanos) {
        startNanos = nowNanos;
        lastReason = Optional.empty();
    }

    /** Returns whether the stream still waits for an endpoint that is expected to accept it. */
    boolean waitsForHealthy(long nowNanos) {
        return nowNanos - startNanos < HEALTHY_ONLY_NANOS;
    }

    /**
     * Schedules another attempt.
     *
     * @param reason why the stream has no endpoint
     * @return whether the reason differs from that of the previous delay
     */
    boolean schedule(String reason, long nowNanos, Runnable attempt) {
        long millis = waitsForHealthy(nowNanos) ? INITIAL_DELAY_MILLIS : LATER_DELAY_MILLIS;
        traffic.schedule(attempt, millis, TimeUnit.MILLISECONDS);
        boolean changed = lastReason.filter(reason::equals).isEmpty();
        lastReason = Optional.of(reason);
        return changed;
    }
}
