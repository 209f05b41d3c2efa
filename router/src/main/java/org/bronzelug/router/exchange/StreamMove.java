package org.bronzelug.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.router.endpoint.ConnectionUse;
import org.bronzelug.router.endpoint.EndpointCall;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.endpoint.ResponseListener;
import org.bronzelug.router.traffic.EndpointState;

/**
 * The attempt to send a begun stream to the endpoint that it moves to. Its events go to the {@link
 * StreamMover} until the endpoint has accepted the request, and to the exchange afterwards.
 * Confined to the traffic thread.
 */
final class StreamMove implements ResponseListener {
    /**
     * How long the current endpoint's events are held back while the other endpoint has not
     * responded: less than the gap between events that callers tolerate.
     */
    static final long ACCEPTANCE_NANOS = 250_000_000L;

    private final Exchange exchange;
    private final StreamMover mover;
    private final EndpointState target;
    private final PrefillProgress prefill;
    private final WatchedAttempt watched;
    private final String cause;
    private final long startNanos;
    private Optional<EndpointCall> call = Optional.empty();
    private boolean accepted;

    StreamMove(
            Exchange exchange,
            StreamMover mover,
            EndpointState target,
            PrefillProgress prefill,
            WatchedAttempt watched,
            String cause,
            long startNanos) {
        this.exchange = exchange;
        this.mover = mover;
        this.target = target;
        this.prefill = prefill;
        this.watched = watched;
        this.cause = cause;
        this.startNanos = startNanos;
    }

    void setCall(EndpointCall started) {
        call = Optional.of(started);
    }

    Optional<EndpointCall> call() {
        return call;
    }

    EndpointState target() {
        return target;
    }

    PrefillProgress prefill() {
        return prefill;
    }

    WatchedAttempt watched() {
        return watched;
    }

    String cause() {
        return cause;
    }

    long startNanos() {
        return startNanos;
    }

    /** Returns whether the current endpoint's events may not be held back any longer. */
    boolean isOverdue(long nowNanos) {
        return nowNanos - startNanos >= ACCEPTANCE_NANOS;
    }

    /** Passes all further events to the exchange. */
    void accept() {
        accepted = true;
    }

    @Override
    public boolean beforeSend(HttpHeaders headers) {
        return accepted ? exchange.beforeSend(headers) : mover.beforeSend(headers);
    }

    @Override
    public void onUnreachable(String reason) {
        if (accepted) {
            exchange.onUnreachable(reason);
        } else {
            mover.onUnreachable(target, reason);
        }
    }

    @Override
    public void onSent(ConnectionUse use) {
        watched.recordWritten();
        mover.onSent(target, use);
    }

    @Override
    public void onHead(EndpointResponse head, HttpResponse response) {
        if (!accepted && !(head.isSuccess() && head.genuine())) {
            mover.onRejected(target, head);
            return;
        }
        if (!accepted) {
            mover.accept();
        }
        exchange.onHead(head, response);
    }

    @Override
    public void onData(ByteBuf data) {
        exchange.onData(data);
    }

    @Override
    public void onComplete() {
        exchange.onComplete();
    }

    @Override
    public void onBroken(String reason) {
        if (accepted) {
            exchange.onBroken(reason);
        } else {
            mover.onBroken(target, reason);
        }
    }
}
