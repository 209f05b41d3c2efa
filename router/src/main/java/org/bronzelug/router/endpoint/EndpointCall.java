package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * One attempt to send a request to one endpoint, which can be cancelled at any time. The call
 * exists before it is sent, so that its owner can cancel it from within each of its events.
 *
 * <p>Invariant: the listener is not called any more once the call has ended, which is at the last
 * event of its response, when the request is withheld, or at {@link #cancel}. A call that ends
 * before its whole response has arrived closes its connection. Without this, events of an attempt
 * that a request has left count as those of its next attempt.
 *
 * <p>Confined to the traffic thread.
 */
public final class EndpointCall {
    private final FullHttpRequest request;
    private final String requestId;
    private final ResponseListener listener;
    private Optional<EndpointConnection> connection = Optional.empty();
    private boolean ended;

    EndpointCall(FullHttpRequest request, String requestId, ResponseListener listener) {
        this.request = request;
        this.requestId = requestId;
        this.listener = listener;
    }

    String requestId() {
        return requestId;
    }

    /**
     * Sends the request, unless the call has ended or its listener withholds it.
     *
     * @return whether the connection carries the request now
     */
    boolean start(EndpointConnection opened, ConnectionUse use) {
        if (ended || !listener.beforeSend(request.headers())) {
            ended = true;
            request.release();
            return false;
        }
        connection = Optional.of(opened);
        opened.send(request, requestId, new Events(), use);
        return true;
    }

    void unreachable(String cause) {
        request.release();
        if (!ended) {
            ended = true;
            listener.onUnreachable(cause);
        }
    }

    /** Cancels the request by closing its connection, so that the endpoint stops working on it. */
    public void cancel() {
        if (!ended) {
            ended = true;
            connection.ifPresent(EndpointConnection::cancel);
        }
    }

    /** Returns the connection that carries the request; empty if none does yet. */
    Optional<EndpointConnection> connection() {
        return connection;
    }

    /** Pauses or resumes reading the response. */
    public void setReading(boolean reading) {
        if (!ended) {
            connection.ifPresent(opened -> opened.setReading(reading));
        }
    }

    /** Passes the events of the connection on until the call has ended. */
    private final class Events implements ResponseListener {
        @Override
        public boolean beforeSend(HttpHeaders headers) {
            return !ended && listener.beforeSend(headers);
        }

        @Override
        public void onUnreachable(String cause) {
            unreachable(cause);
        }

        @Override
        public void onSent(ConnectionUse use) {
            if (!ended) {
                listener.onSent(use);
            }
        }

        @Override
        public void onHead(EndpointResponse head, HttpResponse response) {
            if (!ended) {
                listener.onHead(head, response);
            }
        }

        @Override
        public void onData(ByteBuf data) {
            if (ended) {
                data.release();
            } else {
                listener.onData(data);
            }
        }

        @Override
        public void onComplete() {
            if (!ended) {
                ended = true;
                listener.onComplete();
            }
        }

        @Override
        public void onBroken(String cause) {
            if (!ended) {
                ended = true;
                listener.onBroken(cause);
            }
        }
    }
}
