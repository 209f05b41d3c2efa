package org.bronzelug.core.drain;

/**
 * Counts the requests in progress, so that a graceful stop waits for the last one.
 *
 * <p>Invariant: after {@link #close}, {@link #enter} is refused, and {@link #isIdle} once true
 * stays so. The failure this guards against: a request that enters between the count and the stop
 * is cut; entering and closing are one lock, so it is either counted or refused as not run.
 *
 * <p>Thread-safe.
 */
public final class DrainGate {
    private int open;
    private boolean closed;

    /** Lets a request in; false once the VM is stopping. */
    public synchronized boolean enter() {
        if (closed) {
            return false;
        }
        open++;
        return true;
    }

    /** Must follow each successful {@link #enter} once. */
    public synchronized void leave() {
        open--;
        notifyAll();
    }

    /** Lets no further request in. */
    public synchronized void close() {
        closed = true;
        notifyAll();
    }

    public synchronized boolean isIdle() {
        return closed && open == 0;
    }

    public synchronized int open() {
        return open;
    }

    /** Waits until the last request has left, at most so long; whether it has. */
    public synchronized boolean awaitIdle(long nanos) throws InterruptedException {
        long end = System.nanoTime() + nanos;
        while (!isIdle()) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                return false;
            }
            wait(Math.max(1, left / 1_000_000));
        }
        return true;
    }
}
