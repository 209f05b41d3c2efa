package org.bronzelug.core.order;

import java.util.Optional;

/**
 * Whether this VM may give orders now.
 *
 * <p>The right is an object in the platform that names a VM, with a fence that grows with each new
 * holder. Runners don't check fences, so a holder that was paused could give an order after the
 * next one has begun. Therefore a holder only sends within {@link #VALID_MILLIS} of having asked
 * for its last confirmed renewal, and another VM only begins once the object has not changed for as
 * long as the holder could have sent, and the lease after that.
 *
 * <p>Times are the local monotonic clock's nanoseconds; no clocks are compared. Immutable.
 *
 * @param holder the VM named
 * @param incarnation of the holder
 * @param fence of the holder's tenure
 * @param revision of the object
 * @param seenNanos when this VM first saw that revision
 */
public record OrderLease(
        String holder, String incarnation, long fence, long revision, long seenNanos) {
    /** A renewal is confirmed in some 10 ms; a second bears a slow platform. */
    public static final long VALID_MILLIS = 1_000;

    /** An order is on its way for less than this, unless its sender or link was paused. */
    public static final long TRANSIT_MILLIS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Whether a VM may take the right over now. */
    public static boolean isFree(
            Optional<OrderLease> lease, String vm, long leaseMillis, long nowNanos) {
        if (lease.isEmpty() || lease.get().holder().equals(vm)) {
            return true;
        }
        long quietMillis = VALID_MILLIS + TRANSIT_MILLIS + leaseMillis;
        return nowNanos - lease.get().seenNanos() >= quietMillis * NANOS_PER_MILLI;
    }

    /** Whether a holder may still send, whose last confirmed renewal was asked for then. */
    public static boolean mayOrder(long renewalSentNanos, long nowNanos) {
        return nowNanos - renewalSentNanos < VALID_MILLIS * NANOS_PER_MILLI;
    }
}
