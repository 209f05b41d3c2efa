package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzelug.core.admission.WaitLimit;
import org.bronzelug.core.admission.WaitingEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TeamShares;

/**
 * The wait of one request for an endpoint that accepts it. It has no effect in pools whose requests
 * do not wait ({@link WaitingRequests#appliesTo}).
 *
 * <p>Invariant: the request is tried again or refused only while it waits, and does neither once
 * its exchange has ended. Confined to the traffic thread.
 */
final class RequestWait {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Memory of a waiting request besides its body: headers, parts and the exchange. */
    private static final long OVERHEAD_BYTES = 8_192;

    /**
     * How long a request that was rejected waits for an endpoint that is expected to accept it.
     * After that it may be sent to any, since the expectation may be wrong.
     */
    private static final long HEALTHY_ONLY_NANOS = 300_000_000L;

    private final WaitingRequests waiting;
    private final AdmittedRequest admitted;
    private final Attempts attempts;
    private final EndpointSelection selection;
    private final ExchangeOutcome outcome;
    private final ExchangeLog log;
    private final WaitingEntry<RequestWait> entry;
    private Runnable continuation = () -> {};
    private Consumer<String> rejection = reason -> {};
    private String reason = "";
    private long sinceNanos;
    private long blockedNanos;
    private int sendsAtBlock;
    private boolean inQueue;
    private boolean blocked;

    RequestWait(
            WaitingRequests waiting,
            FullHttpRequest request,
            AdmittedRequest admitted,
            Attempts attempts,
            EndpointSelection selection,
            ExchangeOutcome outcome,
            ExchangeLog log) {
        this.waiting = waiting;
        this.admitted = admitted;
        this.attempts = attempts;
        this.selection = selection;
        this.outcome = outcome;
        this.log = log;
        long limitMillis = WaitLimit.millis(admitted.route().goalMillis(), admitted.callerMillis());
        this.entry =
                new WaitingEntry<>(
                        this,
                        TeamShares.nameOf(admitted.team()),
                        admitted.urgency(),
                        admitted.work(),
                        request.content().readableBytes() + OVERHEAD_BYTES,
                        admitted.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(limitMillis),
                        admitted.arrivedNanos());
    }

    /** Returns the request's pool if its requests may wait. */
    private Optional<String> pool() {
        return admitted.pool().filter(waiting::appliesTo).map(EndpointPool::name);
    }

    /** Records that the request is sent to an endpoint. */
    void recordSent(long nowNanos) {
        pool().ifPresent(
                        name ->
                                waiting.admission(name)
                                        .recordAccepted(entry.urgency(), entry.work(), nowNanos));
    }

    /**
     * Chooses the endpoint to send to now; empty if none accepts the request, also because of an
     * overload ({@link EndpointSelection#retryAfterMillis}).
     */
    Optional<EndpointState> choose(long nowNanos) {
        boolean healthyOnly =
                inQueue && attempts.sends() > 0 && nowNanos - blockedNanos < HEALTHY_ONLY_NANOS;
        Optional<EndpointState> chosen =
                healthyOnly ? selection.chooseHealthy(nowNanos) : selection.choose(nowNanos);
        return selection.retryAfterMillis().isPresent() ? Optional.empty() : chosen;
    }

    /**
     * Returns whether earlier requests of the same team wait, so that this one waits behind them.
     * Another team's request does not wait for them: its turn in the next round is due.
     */
    boolean isBehindOthers() {
        return !inQueue
                && pool().filter(
                                name ->
                                        waiting.admission(name)
                                                .hasWaiting(entry.team(), entry.urgency()))
                        .isPresent();
    }

    /**
     * Has the request wait, or go on waiting, if it is expected to begin in time.
     *
     * @param cause why it has to wait
     * @param knownMillis the time before which no endpoint accepts it; 0 if that is unknown
     * @param again tries to send the request
     * @param reject rejects the request for a reason
     * @return whether it waits; otherwise it must be rejected now
     */
    boolean begin(String cause, long knownMillis, Runnable again, Consumer<String> reject) {
        Optional<String> pool = pool();
        long nowNanos = System.nanoTime();
        entry.setNotBefore(nowNanos + knownMillis * NANOS_PER_MILLI);
        if (pool.isEmpty()) {
            return false;
        }
        continuation = again;
        rejection = reject;
        reason = cause;
        selection.clearTried();
        if (!inQueue || attempts.sends() != sendsAtBlock) {
            blockedNanos = nowNanos;
            sendsAtBlock = attempts.sends();
        }
        if (inQueue) {
            blocked = true;
            return true;
        }
        Optional<String> refusal = waiting.offer(pool.get(), entry, nowNanos);
        if (refusal.isPresent()) {
            log.waitRefused(cause, refusal.get());
            return false;
        }
        inQueue = true;
        sinceNanos = nowNanos;
        log.waiting(cause);
        return true;
    }

    /** Returns when the wait began. */
    long sinceNanos() {
        return sinceNanos;
    }

    /**
     * Tries to send the waiting request.
     *
     * @return whether it has left the queue
     */
    boolean tryAgain() {
        blocked = false;
        continuation.run();
        if (!blocked && inQueue) {
            inQueue = false;
            log.waitEnded("sent", sinceNanos);
        }
        return !blocked;
    }

    /** Rejects the request, which was removed from the queue. */
    void refuse(String cause) {
        if (inQueue && !outcome.isDone()) {
            inQueue = false;
            log.waitRefused(reason, cause);
            rejection.accept(reason + "; waited in vain: " + cause);
        }
    }

    /** Ends the wait, if there is one, since the exchange has ended. */
    void end() {
        if (inQueue) {
            inQueue = false;
            blocked = false;
            admitted.pool().ifPresent(pool -> waiting.remove(pool.name(), entry));
            log.waitEnded("request ended", sinceNanos);
        }
        waiting.tryAgainSoon();
    }

    /**
     * Returns the delay after which the caller of the rejected request should return.
     *
     * @param usualMillis the delay in pools whose requests do not wait
     */
    long returnMillis(long usualMillis) {
        long nowNanos = System.nanoTime();
        long remainingNanos =
                admitted.arrivedNanos()
                        + TimeUnit.MILLISECONDS.toNanos(admitted.callerMillis())
                        - nowNanos;
        return pool().filter(name -> remainingNanos > 0)
                .map(name -> waiting.admission(name).returnMillis(entry, remainingNanos, nowNanos))
                .orElse(usualMillis);
    }
}
