package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.order.LoadOrder;
import org.bronzelug.router.order.OrderOutcome;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.order.RunnerReport;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a VM that repeats a failed write of the order lease in each round: each write is a
 * call to the platform, also if it is rejected.
 */
class RejectedLeaseTest {
    private static final String MODEL = "m";
    private static final int ROUNDS = 10;

    private final DefaultEventLoop control = new DefaultEventLoop();
    private final OneRunnerDecoder decoder = new OneRunnerDecoder(MODEL);
    private final ControlState state = new ControlState(decoder, 0, 1_200);
    private final AtomicInteger writes = new AtomicInteger();

    @AfterEach
    void stop() {
        control.shutdownGracefully();
    }

    @ParameterizedTest
    @EnumSource
    void aFailedWriteIsNotRepeatedInTheNextRounds(StoreException.Problem problem) {
        OrderService orders = orders(problem);
        list(decoder.configurationKind(), "main", 1);
        list(decoder.endpointKind(), "a", 1);
        list(decoder.weightsKind(), MODEL, 2);
        list(ControlState.LEASE_KIND, "other", 1);
        for (int round = 0; round < ROUNDS; round++) {
            orders.round();
        }
        assertThat(writes.get()).isEqualTo(1);
        assertThat(orders.orderedEndpoints()).isEmpty();
    }

    private void list(String kind, String name, long revision) {
        StoredItem item = new StoredItem(name, revision, new byte[0]);
        state.mirror(kind).replaceAll(new ItemList(List.of(item), 10));
        state.onChange(kind);
    }

    private OrderService orders(StoreException.Problem problem) {
        ObjectStore rejectingStore =
                (ObjectStore)
                        Proxy.newProxyInstance(
                                ObjectStore.class.getClassLoader(),
                                new Class<?>[] {ObjectStore.class},
                                (proxy, method, arguments) -> {
                                    writes.incrementAndGet();
                                    return CompletableFuture.failedFuture(
                                            new StoreException(problem, "rejected"));
                                });
        return OnlyVm.orders(control, rejectingStore, state, new UnusedRunners());
    }

    /** Runners that fail the test if they get a request. */
    private static final class UnusedRunners implements OrderService.Runners {
        @Override
        public CompletableFuture<RunnerReport> report(EndpointEntry runner) {
            throw new AssertionError("no order is given without the lease");
        }

        @Override
        public CompletableFuture<OrderOutcome> load(
                EndpointEntry runner, LoadOrder order, BooleanSupplier mayOrder) {
            throw new AssertionError("no order is given without the lease");
        }
    }
}
