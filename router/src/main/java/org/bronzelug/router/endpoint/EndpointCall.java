package org.bronzelug.router.endpoint;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;

/**
 * One attempt to send a request to one endpoint, which can be cancelled at any time.
 *
 * <p>Invariant: after {@link #cancel} the listener is not called any more. Confined to the traffic
 * thread.
 */
public final class EndpointCall {
    private final FullHttpRequest request;
    private final String requestId;
    private final ResponseListener listener;
    private Optional<EndpointConnection> connection = Optional.empty();
    private boolean cancelled;

    EndpointCall(FullHttpRequest request, String requestId, ResponseListener listener) {
        this.request = request;
        this.requestId = requestId;
        this.listener = listener;
    }

    void start(EndpointConnection opened, ConnectionUse use) {
        if (cancelled || !listener.beforeSend(request.headers())) {
            request.release();
            opened.close();
            return;
        }
        connection = Optional.of(opened);
        opened.send(request, requestId, listener, use);
    }

    void unreachable(String cause) {
        request.release();
        if (!cancelled) {
            listener.onUnreachable(cause);
        }
    }

    /** Cancels the request by closing its connection, so that the endpoint stops working on it. */
    public void cancel() {
        cancelled = true;
        connection.ifPresent(EndpointConnection::cancel);
    }

    /** Returns the connection that carries the request; empty if none does yet. */
    Optional<EndpointConnection> connection() {
        return connection;
    }

    /** Pauses or resumes reading the response. */
    public void setReading(boolean reading) {
        connection.ifPresent(opened -> opened.setReading(reading));
    }
}
