package org.bronzelug.core.order;

import java.util.Optional;

/**
 * The lease of the right to order runners to load weights, as this VM last saw it.
 *
 * <p>The lease is an object in the platform that names its holder and carries a fencing token,
 * {@code fence}, which grows with each new holder. Runners do not check fencing tokens, so without
 * further rules a suspended holder could send an order after the next holder has begun to send its
 * own. Invariant: the orders of two VMs are at least the lease time apart. Two rules ensure it. A
 * holder sends orders only within {@link #VALID_MILLIS} of the request for its last confirmed
 * renewal. Another VM acquires the lease only if the object has not changed for as long as the
 * holder could still send orders and have them in transit, plus the lease time.
 *
 * <p>Times are nanoseconds of the local monotonic clock; no clocks of two VMs are compared.
 * Immutable.
 *
 * @param holder name of the VM that holds the lease
 * @param incarnation of the holder
 * @param fence fencing token of the holder's ownership
 * @param revision of the object
 * @param seenNanos when this VM first saw that revision
 */
public record OrderLease(
        String holder, String incarnation, long fence, long revision, long seenNanos) {
    /**
     * How long after the request for its last confirmed renewal a holder may send orders. A renewal
     * is confirmed within some 10 ms; 1 s tolerates a slow platform.
     */
    public static final long VALID_MILLIS = 1_000;

    /**
     * Upper bound of the time that an order is in transit, unless its sender or the connection was
     * suspended.
     */
    public static final long TRANSIT_MILLIS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns whether a VM may acquire the lease now. The VM that the lease names need not wait.
     */
    public static boolean isFree(
            Optional<OrderLease> lease, String vm, long leaseMillis, long nowNanos) {
        if (lease.isEmpty() || lease.get().holder().equals(vm)) {
            return true;
        }
        long unchangedMillis = VALID_MILLIS + TRANSIT_MILLIS + leaseMillis;
        return nowNanos - lease.get().seenNanos() >= unchangedMillis * NANOS_PER_MILLI;
    }

    /**
     * Returns whether a holder may still send orders.
     *
     * @param renewalSentNanos when the holder sent the request for its last confirmed renewal
     */
    public static boolean mayOrder(long renewalSentNanos, long nowNanos) {
        return nowNanos - renewalSentNanos < VALID_MILLIS * NANOS_PER_MILLI;
    }
}
