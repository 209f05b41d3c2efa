package org.bronzelug.core.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against needless calls to the platform: all VMs write the lease when a holder fails during
 * a long rollout, or a holder renews it often although it has no order to send.
 */
class LeaseTurnsTest {
    private static final long MILLI = 1_000_000L;
    private static final long LEASE_MILLIS = 3_000;

    /** The lease was last renewed at 10,000 ms, so it is free for other VMs from 14,400 ms on. */
    @ParameterizedTest
    @CsvSource({
        "other, 2000, 14400",
        "other, 14300, 14400",
        "other, 20000, 20000",
        "holder, 2000, 2000",
    })
    void turnsBeginWhenTheLeaseIsFreeAndARolloutIsPending(
            String vm, long pendingMillis, long expectedMillis) {
        OrderLease lease = new OrderLease("holder", "first", 1, 1, 10_000 * MILLI);
        long turnsNanos =
                OrderLease.turnsSinceNanos(
                        Optional.of(lease), vm, LEASE_MILLIS, pendingMillis * MILLI);
        assertThat(turnsNanos).isEqualTo(expectedMillis * MILLI);
    }

    @ParameterizedTest
    @CsvSource({
        "699, true, false",
        "700, true, true",
        "1999, false, false",
        "2000, false, true",
    })
    void leaseIsRenewedOftenOnlyIfAnOrderIsDue(long ageMillis, boolean orderDue, boolean expected) {
        assertThat(OrderLease.isRenewalDue(0, () -> orderDue, ageMillis * MILLI))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"700", "2000"})
    void nobodyElseAcquiresALeaseThatIsRenewedWhenDue(long ageMillis) {
        OrderLease lease = new OrderLease("holder", "first", 1, 1, 0);
        boolean twiceLateIsFree =
                OrderLease.isFree(Optional.of(lease), "other", LEASE_MILLIS, 2 * ageMillis * MILLI);
        assertThat(twiceLateIsFree).isFalse();
    }
}
