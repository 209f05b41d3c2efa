package org.bronzelug.core.limit;

/**
 * Whether an endpoint may be full, from the load that it reported last, the requests that the VMs
 * know to be in flight there, and its rejections.
 *
 * <p>The estimate errs on the side of full: it serves endpoints that fail if they have to reject
 * too many requests. Times are nanoseconds of the local monotonic clock. Not thread-safe.
 */
public final class OccupancyEstimate {
    /** Age of a report or rejection after which it says nothing about the load any more. */
    static final long VALID_NANOS = 1_000_000_000L;

    /** Part of the slots beyond which requests that other VMs have just sent may fill the rest. */
    private static final double SAFE_FRACTION = 0.5;

    private int occupied;
    private int waiting;
    private long reportedNanos;
    private boolean reported;
    private long rejectedNanos;
    private boolean rejected;

    /** Records the load that a response reported. */
    public void recordLoad(int runningRequests, int waitingRequests, long nowNanos) {
        occupied = runningRequests + waitingRequests;
        waiting = waitingRequests;
        reportedNanos = nowNanos;
        reported = true;
    }

    /** Records that the endpoint rejected a request. */
    public void recordRejection(long nowNanos) {
        rejectedNanos = nowNanos;
        rejected = true;
    }

    /**
     * Returns whether the endpoint may have no room for one more request.
     *
     * @param inFlight requests of all VMs that this VM knows to be in flight at the endpoint
     * @param slots requests that the endpoint serves at the same time
     */
    public boolean mayBeFull(int inFlight, int slots, long nowNanos) {
        if (rejected && nowNanos - rejectedNanos < VALID_NANOS) {
            return true;
        }
        boolean fresh = reported && nowNanos - reportedNanos < VALID_NANOS;
        if (fresh && waiting > 0) {
            return true;
        }
        int known = Math.max(inFlight, fresh ? occupied : 0);
        return known + 1 > slots * SAFE_FRACTION;
    }
}
