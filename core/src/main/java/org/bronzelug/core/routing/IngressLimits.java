package org.bronzelug.core.routing;

/**
 * Limits on the size and timing of the requests that callers send. Immutable.
 *
 * @param maximumHeaderBytes maximum size of a request's head
 * @param maximumBodyBytes maximum size of a request's body
 * @param headerTimeoutMillis maximum time from the first byte of a head to its last
 * @param idleTimeoutMillis maximum time between two requests on a connection
 */
public record IngressLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final int DEFAULT_BODY_BYTES = 4_194_304;
    private static final long DEFAULT_HEADER_MILLIS = 3_000;
    private static final long DEFAULT_IDLE_MILLIS = 15_000;

    /** Returns the limits that apply until a configuration is known. */
    public static IngressLimits defaults() {
        return new IngressLimits(
                DEFAULT_HEADER_BYTES,
                DEFAULT_BODY_BYTES,
                DEFAULT_HEADER_MILLIS,
                DEFAULT_IDLE_MILLIS);
    }
}
