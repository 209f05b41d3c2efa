package org.bronzelug.core.admission;

/**
 * Bounds the requests that wait at one VM, over all of its queues, in number and in bytes.
 *
 * <p>Invariant: neither bound is exceeded. Not thread-safe: guarded by its owner.
 */
public final class AdmissionCapacity {
    private final int maximumRequests;
    private final long maximumBytes;
    private int requests;
    private long bytes;

    public AdmissionCapacity(int maximumRequests, long maximumBytes) {
        this.maximumRequests = maximumRequests;
        this.maximumBytes = maximumBytes;
    }

    boolean tryTake(long requestBytes) {
        if (requests >= maximumRequests || bytes + requestBytes > maximumBytes) {
            return false;
        }
        requests++;
        bytes += requestBytes;
        return true;
    }

    void release(long requestBytes) {
        requests--;
        bytes -= requestBytes;
    }

    /** Returns the number of waiting requests. */
    public int requests() {
        return requests;
    }

    /** Returns the memory that the waiting requests take. */
    public long bytes() {
        return bytes;
    }
}
