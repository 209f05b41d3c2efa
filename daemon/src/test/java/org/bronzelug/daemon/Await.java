package org.bronzelug.daemon;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Polls a condition until it holds. The timeout only ends a test that would hang otherwise. */
final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    /** A condition that is expected to hold at some time. */
    interface Condition {
        boolean holds() throws Exception;
    }

    static void until(String description, Condition condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within the timeout: " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
