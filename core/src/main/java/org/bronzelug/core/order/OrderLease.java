package org.bronzelug.core.order;

import java.util.Optional;
import java.util.function.BooleanSupplier;

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

    /**
     * Age of the last renewal from which the lease is renewed if an order is to be sent. With
     * rounds of 300 ms, the renewal is sent before the lease expires after 1 s. One that is
     * confirmed later delays an order by some milliseconds.
     */
    private static final long RENEW_MILLIS = 700;

    /**
     * Age of the last renewal from which the lease is renewed in any case: less than half of the
     * time after which another VM may acquire it.
     */
    private static final long KEEP_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns whether a VM may acquire the lease now. The VM that the lease names need not wait.
     */
    public static boolean isFree(
            Optional<OrderLease> lease, String vm, long leaseMillis, long nowNanos) {
        return lease.isEmpty()
                || lease.get().holder().equals(vm)
                || nowNanos - lease.get().freeSinceNanos(leaseMillis) >= 0;
    }

    /** Returns from when on VMs other than the holder may acquire the lease if it is unchanged. */
    private long freeSinceNanos(long leaseMillis) {
        long unchangedMillis = VALID_MILLIS + TRANSIT_MILLIS + leaseMillis;
        return seenNanos + unchangedMillis * NANOS_PER_MILLI;
    }

    /**
     * Returns whether the holder is to renew the lease.
     *
     * <p>Each renewal is a call to the platform and wakes every watch of the lease. While no order
     * is to be sent, the lease is renewed only often enough that no other VM acquires it.
     *
     * @param renewalSentNanos when the holder sent the request for its last confirmed renewal
     * @param orderDue whether an order is to be sent; evaluated only if it matters
     */
    public static boolean isRenewalDue(
            long renewalSentNanos, BooleanSupplier orderDue, long nowNanos) {
        long ageNanos = nowNanos - renewalSentNanos;
        return ageNanos >= KEEP_MILLIS * NANOS_PER_MILLI
                || ageNanos >= RENEW_MILLIS * NANOS_PER_MILLI && orderDue.getAsBoolean();
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
