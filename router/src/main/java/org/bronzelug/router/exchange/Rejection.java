package org.bronzelug.router.exchange;

import java.util.OptionalLong;

/**
 * An answer of the router's own. The statuses 408, 421, 429 and 503 promise that the request has
 * not run and will not; all others promise nothing. Immutable.
 *
 * @param status of HTTP
 * @param reason for logs and metrics
 * @param remedy what the caller can do
 * @param retryAfterMillis when to retry
 * @param close whether the connection's state is uncertain, so that it ends after the answer
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

    /** The same answer, after which the connection ends. */
    public Rejection closing() {
        return new Rejection(status, reason, remedy, retryAfterMillis, true);
    }
}
