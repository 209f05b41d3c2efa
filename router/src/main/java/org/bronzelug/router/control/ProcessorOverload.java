package org.bronzelug.router.control;

/**
 * Tells whether requests wait for this VM's processor, from how long the traffic thread takes to
 * begin a task. Confined to the control thread.
 */
final class ProcessorOverload {
    /** Delays of this length add noticeably to the time of a short request. */
    private static final double OVERLOADED_MILLIS = 30;

    /** Below this delay the VM is no longer overloaded, so that callers don't go back and forth. */
    private static final double RECOVERED_MILLIS = 10;

    /** Weight of the newest delay: some five rounds decide. */
    private static final double NEWEST_WEIGHT = 0.2;

    private double meanMillis;
    private boolean overloaded;

    /** Records how long the traffic thread took to begin a task. */
    void record(double delayMillis) {
        meanMillis += NEWEST_WEIGHT * (delayMillis - meanMillis);
        overloaded = meanMillis > (overloaded ? RECOVERED_MILLIS : OVERLOADED_MILLIS);
    }

    boolean isOverloaded() {
        return overloaded;
    }
}
