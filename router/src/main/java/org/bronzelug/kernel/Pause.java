package org.bronzelug.kernel;

import java.util.concurrent.TimeUnit;

/**
 * Waits between two attempts. An interrupt ends the wait and sets the thread's interrupt status
 * again. Stateless and thread-safe.
 */
public final class Pause {
    private Pause() {}

    public static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
