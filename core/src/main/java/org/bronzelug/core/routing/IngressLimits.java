package org.bronzelug.core.routing;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maximumHeaderBytes of one request's head
 * @param maximumBodyBytes of one request's body
 * @param headerTimeoutMillis from the first byte of a head to its last
 * @param idleTimeoutMillis between two requests of a connection
 */
public record IngressLimits(
        int maximumHeaderBytes,
        int maximumBodyBytes,
        long headerTimeoutMillis,
        long idleTimeoutMillis) {
    private static final int USUAL_HEADER_BYTES = 16_384;
    private static final int USUAL_BODY_BYTES = 4_194_304;
    private static final long USUAL_HEADER_MILLIS = 3_000;
    private static final long USUAL_IDLE_MILLIS = 15_000;

    /** Until a configuration is known. */
    public static IngressLimits usual() {
        return new IngressLimits(
                USUAL_HEADER_BYTES, USUAL_BODY_BYTES, USUAL_HEADER_MILLIS, USUAL_IDLE_MILLIS);
    }
}
