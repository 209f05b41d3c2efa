package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one request at one endpoint, on the traffic thread. Exactly one of {@link
 * #onUnreachable}, {@link #onComplete} and {@link #onBroken} is called, once and last, unless the
 * request is withheld or cancelled.
 */
public interface ResponseListener {
    /**
     * Called when a connection is open and the request is about to be written. The request may have
     * waited for the connection, so its headers can be updated here, or the request withheld.
     *
     * @return whether to send the request; if false, no other method is called
     */
    boolean beforeSend(HttpHeaders headers);

    /** Called if no connection could be opened, so nothing was sent. */
    void onUnreachable(String cause);

    /**
     * Called when the request was passed to an open connection; from now on it may run.
     *
     * @param use how the request got the connection
     */
    void onSent(ConnectionUse use);

    /** Called with the head of the response. */
    void onHead(EndpointResponse head, HttpResponse response);

    /** Called with a chunk of the body, which the listener must release. */
    void onData(ByteBuf data);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called if the connection closed or carried malformed bytes before the response was complete.
     */
    void onBroken(String cause);
}
