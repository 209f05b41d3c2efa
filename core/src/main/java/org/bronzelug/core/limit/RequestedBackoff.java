package org.bronzelug.core.limit;

/** The time for which a response asks its recipient to send no more requests. Immutable. */
public sealed interface RequestedBackoff {
    /** The response asks for no backoff; one that was asked for before continues. */
    record None() implements RequestedBackoff {}

    /**
     * The endpoint accepts no requests from this VM for a time.
     *
     * @param millis 0 or more
     */
    record Delay(long millis) implements RequestedBackoff {}

    /**
     * The delay in the response is malformed; a backoff that was asked for before continues.
     *
     * @param text the delay as received
     */
    record Malformed(String text) implements RequestedBackoff {}
}
