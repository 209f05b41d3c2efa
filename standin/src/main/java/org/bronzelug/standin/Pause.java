package org.bronzelug.standin;

import java.util.concurrent.TimeUnit;

/** Sleeps to simulate a slow system. Stateless and thread-safe. */
final class Pause {
    private Pause() {}

    static void nanos(long nanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(nanos);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    static void millis(long millis) {
        nanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
