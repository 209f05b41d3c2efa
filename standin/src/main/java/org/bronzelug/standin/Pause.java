package org.bronzelug.standin;

import java.util.concurrent.TimeUnit;

/** Waiting, as a slow system does. Stateless and thread-safe. */
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
