package org.bronzelug.router.ingress;

import io.netty.handler.codec.http.FullHttpRequest;
import org.bronzelug.core.routing.IngressLimits;

/** Takes whole requests off the connections of callers, on the traffic thread. */
public interface RequestHandler {
    /**
     * Takes a request, and releases it in the end.
     *
     * @return what hears that the caller has gone
     */
    CallerListener handle(FullHttpRequest request, CallerConnection caller, long arrivedNanos);

    /** What callers may send now. */
    IngressLimits limits();

    /** Whether connections end after their next answer. */
    boolean isStopping();
}
