package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.routing.Route;
import org.bronzelug.router.traffic.EndpointState;

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

    /** Plain requests take a sixth of their goal time; one that takes twice the goal is stuck. */
    private static final int STALLED_GOAL_MULTIPLE = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

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

    /**
     * Returns whether an attempt waits in vain: its endpoint is silent, or it is a plain request
     * without any data of a response for far longer than its goal.
     */
    boolean isStalled(
            EndpointState current,
            Route route,
            long sentNanos,
            boolean dataReceived,
            long nowNanos) {
        long waitedMillis = (nowNanos - sentNanos) / NANOS_PER_MILLI;
        boolean slow =
                !route.stream()
                        && !dataReceived
                        && waitedMillis > STALLED_GOAL_MULTIPLE * route.goalMillis();
        return slow || current.isSilent(nowNanos);
    }

    void stop() {
        stopped = true;
        next.ifPresent(scheduled -> scheduled.cancel(false));
    }
}
