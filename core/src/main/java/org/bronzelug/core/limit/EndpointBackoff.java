package org.bronzelug.core.limit;

/**
 * The time during which an endpoint has asked one VM to send it no requests. The object covers one
 * start of the endpoint; a restarted endpoint gets a new object.
 *
 * <p>Only the passing of time ends a backoff. A good response does not, since it may belong to a
 * request that was sent before the endpoint asked for the backoff.
 *
 * <p>Invariant: the end of the backoff is the latest end that the endpoint has asked for, but at
 * most {@link #MAXIMUM_MILLIS} after the last request for a backoff. Not thread-safe: guarded by
 * its owner. Times are the local monotonic clock's nanoseconds.
 */
public final class EndpointBackoff {
    /**
     * Longest backoff after one response, so that a wrong value does not exclude the endpoint for
     * good. An endpoint that wants a longer one asks for it again in its next response.
     */
    public static final long MAXIMUM_MILLIS = 300_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private boolean requested;
    private long endNanos;

    /**
     * Records that a response asked for a backoff from now on. A backoff that ends later than the
     * new one is not shortened.
     *
     * @param millis 0 or more
     * @return whether the end of the backoff has moved
     */
    public boolean request(long millis, long nowNanos) {
        long requestedNanos = Math.min(millis, MAXIMUM_MILLIS) * NANOS_PER_MILLI;
        if (requestedNanos <= remainingNanos(nowNanos)) {
            return false;
        }
        requested = true;
        endNanos = nowNanos + requestedNanos;
        return true;
    }

    public boolean isActive(long nowNanos) {
        return remainingNanos(nowNanos) > 0;
    }

    /** Returns the time until the endpoint accepts requests again; 0 if it does now. */
    public long remainingNanos(long nowNanos) {
        return requested ? Math.max(0, endNanos - nowNanos) : 0;
    }
}
