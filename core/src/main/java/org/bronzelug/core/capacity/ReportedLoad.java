package org.bronzelug.core.capacity;

/**
 * The other VMs' requests at one endpoint, by the endpoint's own last report of its load. The
 * report counts the requests of all VMs, so this VM's own requests at that moment are subtracted.
 *
 * <p>The peers report their requests with a delay. The endpoint's report replaces theirs until
 * theirs are as recent.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class ReportedLoad {
    private int otherRequests;
    private boolean reported;
    private long reportedNanos;

    /**
     * Records a report of the endpoint.
     *
     * @param running requests that the endpoint serves
     * @param waiting requests in the endpoint's queue
     * @param ownRequests this VM's requests in flight at the endpoint
     */
    public void record(int running, int waiting, int ownRequests, long nowNanos) {
        otherRequests = Math.max(0, running + waiting - ownRequests);
        reported = true;
        reportedNanos = nowNanos;
    }

    /** Returns whether the report is more recent than what peers have reported. */
    public boolean isFresher(long peerDelayNanos, long nowNanos) {
        return reported && nowNanos - reportedNanos < peerDelayNanos;
    }

    /** Returns the requests of the other VMs at the time of the report. */
    public int otherRequests() {
        return otherRequests;
    }
}
