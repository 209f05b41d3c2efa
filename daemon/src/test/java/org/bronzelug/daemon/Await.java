package org.bronzelug.daemon;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition; the bound only ends a test that would hang. */
final class Await {
    private static final long GUARD_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    /** Something that becomes true. */
    interface Condition {
        boolean holds() throws Exception;
    }

    static void until(String what, Condition condition) throws Exception {
        long end = System.nanoTime() + GUARD_NANOS;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came true: " + what);
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }
}
