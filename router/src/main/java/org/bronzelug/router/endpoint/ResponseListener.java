package org.bronzelug.router.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Hears of one request at one endpoint, on the traffic thread. One of the ends is called once. */
public interface ResponseListener {
    /**
     * A connection is open and the request is about to be written: the last moment to correct or
     * withhold it, since it may have waited for the connection.
     *
     * @return whether it is to be sent; where it is not, nothing else is called
     */
    boolean beforeSend(HttpHeaders headers);

    /** No connection could be opened: nothing was sent. */
    void onUnreachable(String cause);

    /** The request was handed to an open connection: from here on it may run. */
    void onSent();

    /** The answer's head. */
    void onHead(EndpointResponse answer, HttpResponse response);

    /** A part of the body; the listener releases it. */
    void onData(ByteBuf data);

    /** The answer is whole. */
    void onComplete();

    /** The connection ended, or carried bytes that are no answer, before the answer was whole. */
    void onBroken(String cause);
}
