package org.bronzelug.router.ingress;

import io.netty.handler.codec.http.FullHttpRequest;
import org.bronzelug.core.routing.IngressLimits;

/** Handles the complete requests of callers, on the traffic thread. */
public interface RequestHandler {
    /**
     * Handles a request, takes ownership of it, and completes it with one response on the
     * connection.
     *
     * @param arrivedNanos when the whole request had arrived, by the local monotonic clock
     * @return the listener that is notified if the caller closes the connection
     */
    CallerListener handle(FullHttpRequest request, CallerConnection caller, long arrivedNanos);

    /** Returns the limits on callers' requests in force. */
    IngressLimits limits();

    /** Returns whether connections are to be closed after their next response. */
    boolean isStopping();
}
