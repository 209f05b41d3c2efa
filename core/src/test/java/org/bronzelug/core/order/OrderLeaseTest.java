package org.bronzelug.core.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against responses from the wrong weights: a holder is suspended or cut off, a second VM
 * acquires the lease, and the two order the same runner in turn. The runner checks no fencing
 * token, so the second VM may begin only once the first can no longer send orders, plus the lease
 * time.
 */
class OrderLeaseTest {
    private static final long MILLI = 1_000_000L;
    private static final long LEASE_MILLIS = 3_000;
    private static final int VMS = 4;

    @Property(seed = "13", tries = 100)
    void ordersOfTwoVmsAreAlwaysALeaseApart(@ForAll long seed) {
        Random random = new Random(seed);
        Optional<OrderLease> store = Optional.empty();
        Map<Integer, OrderLease> seenLeases = new HashMap<>();
        Map<Integer, Long> renewalSent = new HashMap<>();
        List<long[]> orders = new ArrayList<>();
        long revision = 1;
        for (long millis = 1; millis < 60_000; millis += 20) {
            for (int vm = 0; vm < VMS; vm++) {
                // Each VM is cut off from the store, and from runners, most of the time.
                boolean cutOff = random.nextInt(10) < 6;
                if (!cutOff && store.isPresent()) {
                    OrderLease current = store.get();
                    OrderLease lastSeen = seenLeases.get(vm);
                    if (lastSeen == null || lastSeen.revision() < current.revision()) {
                        seenLeases.put(vm, seenAt(current, millis));
                    }
                }
                boolean free =
                        OrderLease.isFree(
                                Optional.ofNullable(seenLeases.get(vm)),
                                "vm-" + vm,
                                LEASE_MILLIS,
                                millis * MILLI);
                boolean unchanged =
                        revision(store) == revision(Optional.ofNullable(seenLeases.get(vm)));
                if (!cutOff && free && unchanged && random.nextInt(20) == 0) {
                    revision++;
                    store = Optional.of(lease(vm, revision, millis));
                    seenLeases.put(vm, store.get());
                    renewalSent.put(vm, millis * MILLI);
                }
                boolean mayOrder =
                        renewalSent.containsKey(vm)
                                && OrderLease.mayOrder(renewalSent.get(vm), millis * MILLI);
                if (mayOrder) {
                    orders.add(new long[] {millis, vm});
                }
            }
        }
        assertApart(orders);
    }

    private static long revision(Optional<OrderLease> lease) {
        return lease.map(OrderLease::revision).orElse(0L);
    }

    private static OrderLease lease(int vm, long revision, long millis) {
        return new OrderLease("vm-" + vm, "first", revision, revision, millis * MILLI);
    }

    private static OrderLease seenAt(OrderLease lease, long millis) {
        return new OrderLease(
                lease.holder(),
                lease.incarnation(),
                lease.fence(),
                lease.revision(),
                millis * MILLI);
    }

    private static void assertApart(List<long[]> orders) {
        for (int index = 1; index < orders.size(); index++) {
            if (orders.get(index)[1] != orders.get(index - 1)[1]) {
                assertThat(orders.get(index)[0] - orders.get(index - 1)[0]).isAtLeast(LEASE_MILLIS);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"999, true", "1000, false"})
    void holderStopsOrderingWhenItsRenewalExpires(long ageMillis, boolean expected) {
        assertThat(OrderLease.mayOrder(0, ageMillis * MILLI)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"vm-0, 1, true", "vm-1, 4399, false", "vm-1, 4400, true"})
    void holderReacquiresAtOnceAndOtherVmsWait(String vm, long ageMillis, boolean expected) {
        Optional<OrderLease> lease = Optional.of(lease(0, 7, 0));
        assertThat(OrderLease.isFree(lease, vm, LEASE_MILLIS, ageMillis * MILLI))
                .isEqualTo(expected);
    }
}
