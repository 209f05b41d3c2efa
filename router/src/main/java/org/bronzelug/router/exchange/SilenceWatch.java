package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Runs a periodic check of whether a request's endpoint has stalled.
 *
 * <p>Without it, a request that may be retried would wait for an endpoint without power until its
 * caller has closed the connection.
 *
 * <p>Invariant: no check runs after {@link #stop}. Confined to the traffic thread.
 */
final class SilenceWatch {
    /** Short enough that a goal of 600 ms is exceeded only slightly. */
    private static final long CHECK_MILLIS = 200;

    private final EventLoop traffic;
    private final Runnable check;
    private Optional<ScheduledFuture<?>> next = Optional.empty();
    private boolean stopped;

    SilenceWatch(EventLoop traffic, Runnable check) {
        this.traffic = traffic;
        this.check = check;
    }

    void start() {
        next = Optional.of(traffic.schedule(this::run, CHECK_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void run() {
        if (stopped) {
            return;
        }
        check.run();
        if (!stopped) {
            start();
        }
    }

    void stop() {
        stopped = true;
        next.ifPresent(scheduled -> scheduled.cancel(false));
    }
}
