package org.bronzelug.router.endpoint;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;

/**
 * One request at one endpoint, which can be given up at any time.
 *
 * <p>Invariant: after {@link #cancel} the listener hears nothing more. Confined to the traffic
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

    void start(EndpointConnection opened) {
        if (cancelled || !listener.beforeSend(request.headers())) {
            request.release();
            opened.close();
            return;
        }
        connection = Optional.of(opened);
        opened.send(request, requestId, listener);
    }

    void unreachable(String cause) {
        request.release();
        if (!cancelled) {
            listener.onUnreachable(cause);
        }
    }

    /** Gives the request up: the endpoint sees the connection close and stops work. */
    public void cancel() {
        cancelled = true;
        connection.ifPresent(EndpointConnection::cancel);
    }

    /** Stops or resumes reading the answer. */
    public void setReading(boolean reading) {
        connection.ifPresent(opened -> opened.setReading(reading));
    }
}
