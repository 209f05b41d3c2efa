package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.routing.RetryPolicy;
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
    private final Route route;
    private final Runnable check;
    private Optional<ScheduledFuture<?>> next = Optional.empty();
    private boolean stopped;

    SilenceWatch(EventLoop traffic, Route route, Runnable check) {
        this.traffic = traffic;
        this.route = route;
        this.check = check;
    }

    /** Starts the checks, unless the route allows no other attempt anyway. */
    void start() {
        if (route.retryPolicy() != RetryPolicy.AT_MOST_ONCE) {
            schedule();
        }
    }

    private void schedule() {
        next = Optional.of(traffic.schedule(this::run, CHECK_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Checks once more after a time, besides the periodic checks. */
    void checkAfter(long nanos) {
        traffic.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (!stopped) {
            check.run();
        }
    }

    private void run() {
        check();
        if (!stopped) {
            schedule();
        }
    }

    /**
     * Returns why an attempt in progress waits in vain: the path to its endpoint is lost, the
     * endpoint is silent, or it is a plain request without any data of a response for far longer
     * than its goal.
     */
    Optional<String> stallCause(CurrentAttempt attempt, boolean dataReceived, long nowNanos) {
        if (attempt.endpoint().isEmpty()) {
            return Optional.empty();
        }
        EndpointState current = attempt.currentEndpoint();
        if (attempt.call().filter(current.connections()::isSilenced).isPresent()) {
            return Optional.of("the path to the endpoint is lost");
        }
        long waitedMillis = (nowNanos - attempt.sentNanos()) / NANOS_PER_MILLI;
        boolean slow =
                !route.stream()
                        && !dataReceived
                        && waitedMillis > STALLED_GOAL_MULTIPLE * route.goalMillis();
        return slow || current.isStalled(nowNanos)
                ? Optional.of("endpoint is silent")
                : Optional.empty();
    }

    void stop() {
        stopped = true;
        next.ifPresent(scheduled -> scheduled.cancel(false));
    }
}
