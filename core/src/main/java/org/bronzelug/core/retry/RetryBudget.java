package org.bronzelug.core.retry;

import java.util.random.RandomGenerator;

/**
 * Bounds the retries that this VM sends to one pool, so that the fleet keeps to its bound in any
 * window, over all VMs and all their incarnations.
 *
 * <p>Without this, overloaded endpoints reject requests, each rejection leads to another request,
 * and the retries keep the endpoints overloaded. The budget is a token bucket: a first attempt adds
 * a fraction of a retry, a retry that is sent takes one, and the bucket holds at most this VM's
 * share of the fleet's slack. It starts empty unless the whole fleet starts for the first time: the
 * predecessor of a restarted VM may have spent its share already. The retries of all incarnations
 * in any window are therefore at most the fraction of the first attempts in that window plus what
 * the buckets held when it began, which is at most the slack. This needs no messages.
 *
 * <p>A bucket smaller than one retry would never allow any. If the share is that small, the VM
 * draws in each window whether its bucket may hold one retry, so that the fleet's buckets hold the
 * slack on average.
 *
 * <p>Invariants: the bucket holds at most the capacity, reserved retries included; a retry is
 * reserved before it is sent, and then either sent or released. Not thread-safe: guarded by its
 * owner.
 */
public final class RetryBudget {
    /**
     * Fraction of the fleet's retry slack that the buckets of all VMs may hold. The rest covers VMs
     * that run beside their replacement, and retries that arrive later than they were sent.
     */
    private static final double SLACK_FRACTION = 0.9;

    private final long windowNanos;
    private final RandomGenerator random;
    private double content;
    private int reserved;
    private boolean drawn;
    private long drawnNanos;
    private boolean holdsWholeRetry;

    /**
     * @param windowNanos the window in which the fleet's retries are bounded
     * @param fleetStarts whether no VM of the fleet has run before, so that the bucket starts full
     */
    public RetryBudget(long windowNanos, boolean fleetStarts, RandomGenerator random) {
        this.windowNanos = windowNanos;
        this.random = random;
        this.content = fleetStarts ? Double.MAX_VALUE : 0;
    }

    /**
     * Returns one VM's share of the fleet's slack.
     *
     * @param slack retries allowed in each window in addition to the ratio, over all VMs
     * @param vms number of VMs of the fleet
     */
    public static double slackShare(double slack, int vms) {
        return slack * SLACK_FRACTION / vms;
    }

    /**
     * Records the first attempt of a request.
     *
     * @param ratio retries allowed for each first attempt
     * @param slackShare this VM's share of the slack
     */
    public void recordFirstAttempt(double ratio, double slackShare, long nowNanos) {
        content = Math.min(capacity(slackShare, nowNanos), content + ratio);
    }

    /**
     * Reserves one retry, if available. It must be followed by {@link #recordSent} or {@link
     * #release}.
     *
     * @param slackShare this VM's share of the slack
     */
    public boolean tryReserve(RetryKind kind, double slackShare, long nowNanos) {
        double capacity = capacity(slackShare, nowNanos);
        content = Math.min(capacity, content);
        if (content - reserved < kind.leastContent(capacity)) {
            return false;
        }
        reserved++;
        return true;
    }

    /** Takes a reserved retry out of the bucket, since it is sent. */
    public void recordSent() {
        reserved--;
        content--;
    }

    /** Returns a reserved retry, since it is not sent. */
    public void release() {
        reserved--;
    }

    private double capacity(double slackShare, long nowNanos) {
        if (slackShare >= 1) {
            return slackShare;
        }
        if (!drawn || nowNanos - drawnNanos >= windowNanos) {
            drawn = true;
            drawnNanos = nowNanos;
            holdsWholeRetry = random.nextDouble() < slackShare;
        }
        return holdsWholeRetry ? 1 : 0;
    }
}
