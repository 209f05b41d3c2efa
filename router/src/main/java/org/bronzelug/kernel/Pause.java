package org.bronzelug.kernel;

import java.util.concurrent.TimeUnit;

/** Waiting between two tries; an interrupt ends it and stays set. Stateless and thread-safe. */
public final class Pause {
    private Pause() {}

    public static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
