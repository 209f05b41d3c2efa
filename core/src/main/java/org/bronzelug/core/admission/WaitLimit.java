package org.bronzelug.core.admission;

/**
 * Decides by when a request has to be expected to begin, so that it is worth waiting for.
 *
 * <p>A response after the goal is worth less, but not nothing, if the caller waits for much longer
 * than the goal. The other half of the caller's time is for the response, and for another attempt.
 *
 * <p>Stateless and thread-safe.
 */
public final class WaitLimit {
    private WaitLimit() {}

    /**
     * Returns the limit in milliseconds from the request's arrival.
     *
     * @param goalMillis target time of the response, or of its first event
     * @param callerMillis time that the caller gives the request
     */
    public static long millis(long goalMillis, long callerMillis) {
        long half = callerMillis / 2;
        return goalMillis < callerMillis ? Math.max(goalMillis, half) : half;
    }
}
