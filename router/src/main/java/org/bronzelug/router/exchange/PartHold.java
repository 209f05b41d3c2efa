package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.poison.PartAdmission;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.EndpointState;

/**
 * Holds one request back while it is not known whether it or the parts of its prompt crash
 * endpoints, and gives it up if they do.
 *
 * <p>Invariant: a continuation is not run after the exchange has ended. Confined to the traffic
 * thread.
 */
final class PartHold {
    /** Time after which a held request is tried again: less than an attempt that it waits for. */
    private static final long HELD_MILLIS = 100;

    /** Time in which this VM learns whether an endpoint has crashed, and from other VMs. */
    private static final long VERIFICATION_MILLIS = 60;

    private final ExchangeOutcome outcome;
    private final EventLoop traffic;
    private final PartGate gate;
    private final Abandonment abandonment;
    private final RouterMetrics metrics;
    private final ExchangeLog log;
    private Optional<EndpointState> lastEndpoint = Optional.empty();
    private boolean logged;
    private boolean verified;

    PartHold(
            ExchangeOutcome outcome,
            EventLoop traffic,
            PartGate gate,
            Abandonment abandonment,
            RouterMetrics metrics,
            ExchangeLog log) {
        this.outcome = outcome;
        this.traffic = traffic;
        this.gate = gate;
        this.abandonment = abandonment;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Returns whether the request may be sent now. If not, it is given up or continued later.
     *
     * @param continuation what to do later
     */
    boolean admits(Runnable continuation, long nowNanos) {
        return switch (gate.admit(nowNanos)) {
            case PartAdmission.Allowed allowed -> isVerified(continuation);
            case PartAdmission.Waiting waiting -> {
                hold(waiting.part(), continuation);
                yield false;
            }
            case PartAdmission.Rejected rejected -> {
                abandonment.giveUpQuarantined(rejected);
                yield false;
            }
        };
    }

    /**
     * Returns whether all ends under the request are known that were before now. If the next end is
     * the last one allowed, the request is continued once reports of other VMs have arrived: its
     * caller may have lost an endpoint at one of them just now.
     */
    private boolean isVerified(Runnable continuation) {
        if (verified || !gate.mayBeLastSend()) {
            return true;
        }
        verified = true;
        schedule(continuation, VERIFICATION_MILLIS);
        return false;
    }

    private void hold(PartKey part, Runnable continuation) {
        if (!logged) {
            logged = true;
            metrics.count("requests_held_for_suspected_parts");
            log.held(part);
        }
        schedule(continuation, HELD_MILLIS);
    }

    /** Withdraws the request if it waits at an endpoint that it may crash. */
    void withdrawIfRejected(CurrentAttempt attempt, long nowNanos) {
        if (attempt.isWaiting()
                && gate.isQuarantined(nowNanos)
                && gate.admit(nowNanos) instanceof PartAdmission.Rejected rejected) {
            attempt.end();
            abandonment.giveUpQuarantined(rejected);
        }
    }

    void recordSent(EndpointState endpoint) {
        lastEndpoint = Optional.of(endpoint);
    }

    /**
     * Continues with the request that has left its endpoint, once it is known whether it may have
     * crashed that one.
     */
    void afterVerification(Runnable continuation, long nowNanos) {
        if (lastEndpoint.filter(last -> gate.mayHaveCrashed(last, nowNanos)).isPresent()) {
            verified = true;
            schedule(continuation, VERIFICATION_MILLIS);
        } else {
            continuation.run();
        }
    }

    private void schedule(Runnable continuation, long millis) {
        Runnable unlessDone =
                () -> {
                    if (!outcome.isDone()) {
                        continuation.run();
                    }
                };
        traffic.schedule(unlessDone, millis, TimeUnit.MILLISECONDS);
    }
}
