package org.bronzelug.router.exchange;

import java.util.OptionalLong;

/**
 * An error response that the router itself sends to a caller. The statuses 408, 421, 429 and 503
 * guarantee that the request has not run and will not run; all others guarantee nothing. Immutable.
 *
 * @param status the HTTP status code
 * @param reason the reason, for the response's body and the logs
 * @param remedy what the caller can do
 * @param retryAfterMillis the delay after which the caller should retry
 * @param close whether the connection is closed after the response, since its state is uncertain
 */
public record Rejection(
        int status, String reason, String remedy, OptionalLong retryAfterMillis, boolean close) {
    public static Rejection of(int status, String reason, String remedy) {
        return new Rejection(status, reason, remedy, OptionalLong.empty(), false);
    }

    public static Rejection retryLater(
            int status, String reason, String remedy, long retryAfterMillis) {
        return new Rejection(status, reason, remedy, OptionalLong.of(retryAfterMillis), false);
    }

    /** Returns the same response with the connection closed after it. */
    public Rejection closing() {
        return new Rejection(status, reason, remedy, retryAfterMillis, true);
    }
}
