package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.EndpointState;

/**
 * Resumes a begun stream that has lost its endpoint: at once if another endpoint accepts it, else
 * after delays, until its caller's deadline.
 *
 * <p>Invariant: the caller's connection is closed within the response only if the route allows no
 * further endpoint, the stream has no event to resume after, no endpoint of its software version is
 * left, or the deadline has passed. Confined to the traffic thread.
 */
final class StreamResumer {
    private final Exchange exchange;
    private final ResponseRelay relay;
    private final Attempts attempts;
    private final EndpointSelection selection;
    private final EndpointRequestBuilder builder;
    private final ExchangeOutcome outcome;
    private final RouterMetrics metrics;
    private final ExchangeLog log;
    private final ResumeDelay delay;

    StreamResumer(
            Exchange exchange,
            EventLoop traffic,
            ResponseRelay relay,
            Attempts attempts,
            EndpointSelection selection,
            EndpointRequestBuilder builder,
            ExchangeOutcome outcome,
            RouterMetrics metrics,
            ExchangeLog log) {
        this.exchange = exchange;
        this.relay = relay;
        this.attempts = attempts;
        this.selection = selection;
        this.builder = builder;
        this.outcome = outcome;
        this.metrics = metrics;
        this.log = log;
        this.delay = new ResumeDelay(traffic);
    }

    /** Records that the stream has lost its endpoint. */
    void begin() {
        delay.begin(System.nanoTime());
    }

    /** Resumes the stream at another endpoint, or closes the caller's connection. */
    void resumeOrBreakOff(String cause) {
        if (relay.prepareResume() && attempts.isRetryable()) {
            log.streamMoved(cause);
            begin();
            exchange.retryOnceVerified(cause);
        } else {
            outcome.breakOff(cause);
        }
    }

    /** Schedules another attempt, since no endpoint accepts the stream now. */
    void resumeLater(String reason) {
        long nowNanos = System.nanoTime();
        boolean hopeless = builder.isExpired(nowNanos) || selection.isVersionGone();
        if (!relay.canResume() || hopeless) {
            outcome.breakOff(reason);
            return;
        }
        metrics.count("stream_resumptions_delayed");
        if (delay.schedule(reason, nowNanos, this::resume)) {
            log.resumptionDelayed(reason, selection.tried());
        }
        selection.clearTried();
    }

    private void resume() {
        if (!outcome.isDone()) {
            exchange.retry("the stream waited for an endpoint");
        }
    }

    /** Chooses the endpoint for the next attempt; empty if none is to be tried now. */
    Optional<EndpointState> choose(long nowNanos) {
        return delay.waitsForHealthy(nowNanos)
                ? selection.chooseHealthy(nowNanos)
                : selection.choose(nowNanos);
    }
}
