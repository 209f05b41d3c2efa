package org.bronzelug.router.endpoint;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response's body is marked. */
public enum BodyFraming {
    /** By a length, or there is no body. */
    LENGTH,
    /** By the last chunk. */
    CHUNKED,
    /** By nothing but the close of the connection. */
    CONNECTION_CLOSE;

    /** Returns the framing that the head of a response announces. */
    public static BodyFraming of(HttpResponse response) {
        HttpResponseStatus status = response.status();
        boolean bodyless =
                status.equals(HttpResponseStatus.NO_CONTENT)
                        || status.equals(HttpResponseStatus.NOT_MODIFIED);
        if (bodyless) {
            return LENGTH;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(response) ? LENGTH : CONNECTION_CLOSE;
    }
}
