package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.router.endpoint.ConnectionUse;
import org.bronzelug.router.endpoint.EndpointCall;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Moves a begun stream from its current endpoint to another one, which takes over only once it has
 * accepted the request. Until then the current endpoint's events are held back, for a bounded time,
 * and forwarded if the stream stays.
 *
 * <p>Without this, a stream that leaves a runner which is to load weights is broken off if the
 * other runners load, are full or drain at the same moment and reject it.
 *
 * <p>Invariant: at most one move is in progress, and the current endpoint's attempt is not
 * cancelled before the other endpoint has accepted the request. Confined to the traffic thread.
 */
final class StreamMover {
    private static final int MISDIRECTED = 421;

    private final Exchange exchange;
    private final TrafficState state;
    private final WireFormat wire;
    private final FullHttpRequest request;
    private final AdmittedRequest admitted;
    private final EndpointSelection selection;
    private final Attempts attempts;
    private final EndpointRequestBuilder builder;
    private final ResponseRelay relay;
    private final EndpointCheck check;
    private final PartGate gate;
    private final ExchangeLog log;
    private Optional<StreamMove> move = Optional.empty();

    StreamMover(
            Exchange exchange,
            TrafficState state,
            WireFormat wire,
            FullHttpRequest request,
            AdmittedRequest admitted,
            EndpointSelection selection,
            Attempts attempts,
            EndpointRequestBuilder builder,
            ResponseRelay relay,
            EndpointCheck check,
            PartGate gate,
            ExchangeLog log) {
        this.exchange = exchange;
        this.state = state;
        this.wire = wire;
        this.request = request;
        this.admitted = admitted;
        this.selection = selection;
        this.attempts = attempts;
        this.builder = builder;
        this.relay = relay;
        this.check = check;
        this.gate = gate;
        this.log = log;
    }

    boolean isMoving() {
        return move.isPresent();
    }

    /** Sends the request to the endpoint that the last selection chose. */
    void begin(EndpointState target, String cause, long nowNanos) {
        attempts.chargeRetry();
        selection.recordTried(target);
        target.begin(exchange, nowNanos);
        PrefillProgress prefill = new PrefillProgress(state, admitted);
        prefill.begin(selection.runner(), nowNanos);
        relay.hold();
        WatchedAttempt watched = gate.begin(target, nowNanos);
        StreamMove started =
                new StreamMove(exchange, this, target, prefill, watched, cause, nowNanos);
        move = Optional.of(started);
        log.sent(target, prefill.runner(), selection.limited());
        FullHttpRequest copy =
                builder.build(request, target, prefill.runner(), relay.lastEventId(), nowNanos);
        EndpointCall call = EndpointConnections.newCall(copy, admitted.head().id(), started);
        started.setCall(call);
        target.connections().send(call, nowNanos);
    }

    boolean beforeSend(HttpHeaders headers) {
        long nowNanos = System.nanoTime();
        if (builder.isExpired(nowNanos)) {
            selection.refund(nowNanos);
            stay("the caller's deadline has passed");
            return false;
        }
        Optional<String> obstacle =
                move.flatMap(current -> check.obstacle(current.target(), nowNanos));
        if (obstacle.isPresent()) {
            selection.refund(nowNanos);
            stay(obstacle.get());
            return false;
        }
        builder.remainingMillis(nowNanos).ifPresent(millis -> wire.setDeadline(headers, millis));
        return true;
    }

    void onSent(EndpointState target, ConnectionUse use) {
        exchange.recordWritten(use);
        attempts.recordSent(target);
    }

    void onUnreachable(EndpointState target, String cause) {
        long nowNanos = System.nanoTime();
        selection.refund(nowNanos);
        attempts.recordUnsent();
        target.recordFailure(nowNanos);
        stay("unreachable: " + cause);
    }

    void onRejected(EndpointState target, EndpointResponse head) {
        target.recordResponse(head);
        boolean misdirected = head.status() == MISDIRECTED;
        if (head.notExecuted() || misdirected) {
            attempts.recordNotExecuted(target);
            move.ifPresent(current -> current.watched().recordNotExecuted());
        }
        target.recordRejection(misdirected, System.nanoTime());
        stay("answered " + head.status());
    }

    void onBroken(EndpointState target, String cause) {
        target.recordFailure(System.nanoTime());
        stay(cause);
    }

    /** Hands the stream over to the other endpoint. */
    void accept() {
        StreamMove accepted = move.orElseThrow();
        move = Optional.empty();
        accepted.accept();
        exchange.takeOver(accepted);
    }

    /**
     * Stays at the current endpoint if the stream may not begin on the weights of the other one.
     */
    void stayIfWeightsExpired(long nowNanos) {
        if (move.filter(current -> !check.mayWaitAt(current.target(), nowNanos)).isPresent()) {
            stay("weights of the other endpoint have expired");
        }
    }

    /** Stays at the current endpoint if its events have been held back for too long. */
    void stayIfOverdue(long nowNanos) {
        boolean overdue = move.filter(current -> current.isOverdue(nowNanos)).isPresent();
        if (overdue && relay.isHoldingData()) {
            stay("no response in time");
        }
    }

    /**
     * Ends the move and continues the stream at its current endpoint.
     *
     * @return false if the stream has left its current endpoint, since an event is missing
     */
    boolean stay(String reason) {
        move.ifPresent(ended -> log.stayed(ended.target(), reason));
        cancel();
        boolean complete = relay.forwardHeld();
        if (!complete) {
            exchange.leaveUnusableStream();
        }
        return complete;
    }

    /** Ends the move without forwarding the events held back. */
    void cancel() {
        move.ifPresent(
                cancelled -> {
                    cancelled.call().ifPresent(EndpointCall::cancel);
                    cancelled.target().end(exchange);
                    attempts.releaseRetry();
                    cancelled.prefill().end();
                    cancelled.watched().end(System.nanoTime());
                });
        move = Optional.empty();
    }
}
