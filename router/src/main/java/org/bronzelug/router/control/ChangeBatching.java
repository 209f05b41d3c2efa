package org.bronzelug.router.control;

/**
 * How long to wait between a change and the next watch, in which further changes are batched: each
 * call to the platform is charged for, and changes come in series, such as runners that load
 * weights or versions in quick succession. Confined to the control thread.
 *
 * <p>Invariant: the time is within {@link #BATCH_MILLIS} and {@link #MAXIMUM_BATCH_MILLIS}.
 */
final class ChangeBatching {
    private static final long BATCH_MILLIS = 150;

    /**
     * While changes follow each other closely, the time doubles up to this: a seventh of the
     * shortest time in which a change must be in force everywhere.
     */
    private static final long MAXIMUM_BATCH_MILLIS = 300;

    /**
     * A change that arrives within this time after the watch's start counts as following the
     * previous change closely.
     */
    private static final long SUCCESSIVE_CHANGE_NANOS = 1_000_000_000L;

    private long batchMillis = BATCH_MILLIS;
    private long watchStartNanos;

    void recordWatchStart(long nowNanos) {
        watchStartNanos = nowNanos;
    }

    /** Returns the time from the response to a watch until the next one, in milliseconds. */
    long delayMillis(long nowNanos) {
        boolean successive = nowNanos - watchStartNanos < SUCCESSIVE_CHANGE_NANOS;
        batchMillis = successive ? Math.min(MAXIMUM_BATCH_MILLIS, batchMillis * 2) : BATCH_MILLIS;
        return batchMillis;
    }
}
