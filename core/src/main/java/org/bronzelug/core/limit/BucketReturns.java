package org.bronzelug.core.limit;

/**
 * The times at which the callers of requests that a token bucket rejected are told to return.
 *
 * <p>Invariant: while the bucket stays short, a request rejected later returns later, by the time
 * in which the tokens of the requests rejected before it accrue. Without this, all callers that
 * were rejected while the bucket was in debt returned when it was out of debt, each VM admitted
 * them before it knew of the others, and the bucket was in debt again. Not thread-safe: guarded by
 * its owner. Times are the local monotonic clock's nanoseconds.
 */
final class BucketReturns {
    private long nextNanos;

    BucketReturns(long nowNanos) {
        nextNanos = nowNanos;
    }

    /**
     * Reserves the return of one request.
     *
     * @param readyNanos time until the bucket holds the request's tokens
     * @param accrualNanos time in which the request's tokens accrue for this VM
     * @param longestNanos bound on the delay beyond readyNanos
     * @return the delay after which the caller should return
     */
    long delayNanos(long readyNanos, long accrualNanos, long longestNanos, long nowNanos) {
        long delayNanos = Math.max(readyNanos, nextNanos - nowNanos);
        if (delayNanos - readyNanos > longestNanos) {
            return readyNanos + longestNanos;
        }
        nextNanos = nowNanos + delayNanos + accrualNanos;
        return delayNanos;
    }
}
