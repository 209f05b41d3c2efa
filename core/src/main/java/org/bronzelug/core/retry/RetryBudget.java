package org.bronzelug.core.retry;

/**
 * Bounds the requests that this VM sends again to one pool, in any window.
 *
 * <p>The failure it prevents: endpoints that are overloaded refuse, each refusal becomes another
 * request, and the repeats keep them overloaded. Each VM has a fixed part of what the fleet may
 * repeat: a ratio of the requests that it has itself passed on, and an equal part of the slack. So
 * the sum over all VMs keeps the bound without a message, however the traffic is spread.
 *
 * <p>Invariant: in any window, granted repeats are at most {@code ratio} times the first attempts
 * of that window plus the slack. A window is kept as sixteen slices; a slice that lies partly
 * outside counts in full for repeats. Not thread-safe: guarded by its owner.
 */
public final class RetryBudget {
    private static final int SLICES = 16;

    private final long sliceNanos;
    private final int[] firstAttempts = new int[SLICES + 1];
    private final int[] repeats = new int[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;

    public RetryBudget(long windowNanos) {
        this.sliceNanos = Math.max(1, windowNanos / SLICES);
    }

    /** A request is sent for the first time. */
    public void recordFirst(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentSlice)]++;
    }

    /**
     * Takes one repeat out of the budget, if it is there.
     *
     * <p>Repeats by choice leave a part of it. The failure this prevents: streams leave a runner
     * that is to load weights and use up the budget, the next runner refuses them, and they are
     * broken off for want of another repeat.
     *
     * @param ratio repeats allowed for each first attempt
     * @param slack repeats allowed besides, for this VM alone
     */
    public boolean tryRetry(RetryKind kind, double ratio, double slack, long nowNanos) {
        advance(nowNanos);
        if (sum(repeats) + 1 > kind.budgetPart() * (ratio * sum(firstAttempts) + slack)) {
            return false;
        }
        repeats[index(currentSlice)]++;
        return true;
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (currentSlice == Long.MIN_VALUE || slice - currentSlice > SLICES) {
            currentSlice = slice - SLICES - 1;
        }
        while (currentSlice < slice) {
            currentSlice++;
            firstAttempts[index(currentSlice)] = 0;
            repeats[index(currentSlice)] = 0;
        }
    }

    private static int index(long slice) {
        return (int) Math.floorMod(slice, (long) SLICES + 1);
    }

    private static int sum(int[] slices) {
        int sum = 0;
        for (int slice : slices) {
            sum += slice;
        }
        return sum;
    }
}
