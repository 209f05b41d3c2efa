package org.bronzelug.router.control;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Random delays between attempts, half to one and a half times a mean that doubles up to a maximum.
 * The VMs of a fleet that fail at the same time do not all try again at the same time. Not
 * thread-safe.
 */
final class RandomBackoff {
    private final long initialMillis;
    private final long maximumMillis;
    private long meanMillis;

    RandomBackoff(long initialMillis, long maximumMillis) {
        this.initialMillis = initialMillis;
        this.maximumMillis = maximumMillis;
        reset();
    }

    /** Returns the delay before the next attempt. */
    long nextMillis() {
        long delayMillis = meanMillis / 2 + ThreadLocalRandom.current().nextLong(meanMillis);
        meanMillis = Math.min(maximumMillis, meanMillis * 2);
        return delayMillis;
    }

    /** Notes that an attempt has succeeded. */
    void reset() {
        meanMillis = initialMillis;
    }
}
