package org.bronzelug.router.control;

/**
 * Tells whether requests wait for this VM's processor, from how long the traffic thread takes to
 * begin a task. Confined to the control thread.
 */
final class ProcessorStrain {
    /** Delays of this length add noticeably to the time of a short request. */
    private static final double STRAINED_MILLIS = 30;

    /** Below this delay the VM is no longer strained, so that callers don't go back and forth. */
    private static final double RELAXED_MILLIS = 10;

    /** Weight of the newest delay: some five rounds decide. */
    private static final double NEWEST_WEIGHT = 0.2;

    private double meanMillis;
    private boolean strained;

    /** Records how long the traffic thread took to begin a task. */
    void record(double delayMillis) {
        meanMillis += NEWEST_WEIGHT * (delayMillis - meanMillis);
        strained = meanMillis > (strained ? RELAXED_MILLIS : STRAINED_MILLIS);
    }

    boolean isStrained() {
        return strained;
    }
}
