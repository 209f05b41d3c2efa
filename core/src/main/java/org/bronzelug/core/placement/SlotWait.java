package org.bronzelug.core.placement;

/**
 * Estimates how long a request waits for a slot of an endpoint. Answers a burst that fills the
 * preferred endpoints while others have free slots. Stateless and thread-safe.
 */
public final class SlotWait {
    /** Duration of a short stream: 50 tokens at some 6 ms each, and its first token. */
    private static final double REQUEST_NANOS = 400_000_000;

    private SlotWait() {}

    /**
     * Returns the expected wait for a free slot.
     *
     * @param requests requests of all VMs that are known to be in flight at the endpoint
     * @param slots requests that the endpoint serves concurrently
     */
    public static double nanos(int requests, int slots) {
        int excess = Math.max(0, requests - slots + 1);
        return excess * REQUEST_NANOS / Math.max(1, slots);
    }
}
