package org.bronzelug.router.endpoint;

/**
 * Counts what is skipped before the response to one request. Without a bound, an endpoint could
 * have its responses skipped until the request's time limit. Confined to the traffic thread.
 */
final class SkippedResponses {
    /** Maximum number of interim responses (1xx) to one request. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    /** Maximum number of responses of no request or of earlier ones, before one response. */
    private static final int MAXIMUM_FOREIGN_RESPONSES = 16;

    /** Maximum size in bytes of the bodies that are skipped for one request. */
    private static final int MAXIMUM_SKIPPED_BYTES = 1_048_576;

    private int interimResponses;
    private int foreignResponses;
    private int skippedBytes;

    void addInterim() {
        interimResponses++;
    }

    void addForeign() {
        foreignResponses++;
    }

    void addBytes(int bytes) {
        skippedBytes += bytes;
    }

    boolean isTooMuch() {
        return interimResponses > MAXIMUM_INTERIM_RESPONSES
                || foreignResponses > MAXIMUM_FOREIGN_RESPONSES
                || skippedBytes > MAXIMUM_SKIPPED_BYTES;
    }
}
