package org.bronzelug.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response to a call. Immutable; the body must not be changed after construction.
 *
 * @param status the HTTP status code
 * @param headers the headers of the response
 * @param body the bytes of the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpClientResponse(int status, HttpHeaders headers, byte[] body) {
    private static final int SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    public boolean isSuccess() {
        return status >= SUCCESS && status < FIRST_REDIRECT;
    }
}
