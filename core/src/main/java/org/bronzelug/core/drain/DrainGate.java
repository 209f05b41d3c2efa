package org.bronzelug.core.drain;

/**
 * Counts the requests in progress, so that a graceful stop can wait for the last one.
 *
 * <p>Invariant: after {@link #close}, {@link #enter} returns false, and once {@link #isIdle} has
 * returned true it always does. Entering and closing use one lock, so a request is either counted
 * or rejected as not run. Without this, a request that enters between the count and the stop would
 * be cut off.
 *
 * <p>Thread-safe.
 */
public final class DrainGate {
    private int inProgress;
    private boolean closed;

    /** Admits a request; returns false once the VM is stopping. */
    public synchronized boolean enter() {
        if (closed) {
            return false;
        }
        inProgress++;
        return true;
    }

    /** Ends a request; must follow each successful {@link #enter} exactly once. */
    public synchronized void leave() {
        inProgress--;
        notifyAll();
    }

    /** Admits no further request. */
    public synchronized void close() {
        closed = true;
        notifyAll();
    }

    public synchronized boolean isIdle() {
        return closed && inProgress == 0;
    }

    public synchronized int requestsInProgress() {
        return inProgress;
    }

    /**
     * Waits until the last request has ended.
     *
     * @param nanos maximum time to wait
     * @return whether the last request has ended
     */
    public synchronized boolean awaitIdle(long nanos) throws InterruptedException {
        long deadline = System.nanoTime() + nanos;
        while (!isIdle()) {
            long remaining = deadline - System.nanoTime();
            if (remaining <= 0) {
                return false;
            }
            wait(Math.max(1, remaining / 1_000_000));
        }
        return true;
    }
}
