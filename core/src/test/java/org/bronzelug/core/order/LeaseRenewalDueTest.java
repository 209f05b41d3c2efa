package org.bronzelug.core.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against needless calls to the platform: a holder renews the lease often although it has no
 * order to send.
 */
class LeaseRenewalDueTest {
    private static final long MILLI = 1_000_000L;
    private static final long LEASE_MILLIS = 3_000;

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
