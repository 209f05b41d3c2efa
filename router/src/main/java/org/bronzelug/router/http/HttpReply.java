package org.bronzelug.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer to a call. Immutable; the body is not changed after construction.
 *
 * @param status of HTTP
 * @param headers of the answer
 * @param body its bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, HttpHeaders headers, byte[] body) {
    private static final int SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    public boolean isSuccess() {
        return status >= SUCCESS && status < FIRST_REDIRECT;
    }
}
