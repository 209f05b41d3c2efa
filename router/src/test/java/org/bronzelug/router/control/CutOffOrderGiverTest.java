package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.order.LoadOrder;
import org.bronzelug.router.order.OrderOutcome;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.order.RunnerReport;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ItemPage;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that holds the right to order runners although it can't reach them: they
 * don't load, and all other VMs leave them out as runners that are about to load.
 */
class CutOffOrderGiverTest {
    private static final String MODEL = "m";
    private static final Set<String> RUNNERS = Set.of("a", "b", "c", "d");
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 1, 3_000, 8_000, 8_000, 2_000, 0);

    private final DefaultEventLoop control = new DefaultEventLoop();
    private final OneRunnerDecoder decoder = new OneRunnerDecoder(MODEL);
    private final ControlState state = new ControlState(decoder, 0, 1_200);
    private final Store store = new Store();
    private final List<String> ordered = new ArrayList<>();
    private OrderService orders;

    @BeforeEach
    void publishNewerWeights() {
        orders =
                new OrderService(
                        control,
                        store,
                        new VmSettings(
                                "vm",
                                "z",
                                "127.0.0.1:1",
                                "127.0.0.1:2",
                                "127.0.0.1:3",
                                List.of(),
                                true,
                                1,
                                BOUNDS,
                                LoadSettings.none(),
                                1_200),
                        "incarnation",
                        state,
                        new MemberTable("vm"),
                        new Runners());
        list(decoder.configurationKind(), List.of(item("main", 1)));
        list(decoder.endpointKind(), RUNNERS.stream().map(id -> item(id, 1)).toList());
        list(decoder.weightsKind(), List.of(item(MODEL, 2)));
        list(ControlState.LEASE_KIND, List.of());
    }

    @AfterEach
    void stop() {
        control.shutdownGracefully();
    }

    private void list(String kind, List<StoredItem> items) {
        state.mirror(kind).replaceAll(new ItemList(items, 10));
        state.onChange(kind);
    }

    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    private void runRounds() {
        orders.round();
        orders.round();
    }

    @Test
    void runnersOutOfReachAreNotOrderedAndTheLeaseIsLeftToOthers() {
        orders.updateUnreachable(RUNNERS);
        runRounds();
        assertThat(store.leaseWrites).isEqualTo(0);
        assertThat(orders.orderedEndpoints()).isEmpty();
    }

    @Test
    void runnersInReachAreOrderedBesideOthers() {
        orders.updateUnreachable(Set.of("a", "b", "c"));
        runRounds();
        assertThat(orders.orderedEndpoints()).containsExactly("d");
        assertThat(ordered).containsExactly("d");
    }

    @Test
    void anOrderIsDroppedWhenItsRunnerIsOutOfReach() {
        runRounds();
        Set<String> before = Set.copyOf(orders.orderedEndpoints());
        assertThat(before).isNotEmpty();
        orders.updateUnreachable(before);
        orders.round();
        assertThat(orders.orderedEndpoints()).containsNoneIn(before);
    }

    /** Runners that accept each order and never finish loading. */
    private final class Runners implements OrderService.Runners {
        @Override
        public CompletableFuture<RunnerReport> report(EndpointEntry runner) {
            return CompletableFuture.completedFuture(
                    new RunnerReport(OptionalLong.empty(), false, 0, Map.of(MODEL, 1L)));
        }

        @Override
        public CompletableFuture<OrderOutcome> load(
                EndpointEntry runner, LoadOrder order, BooleanSupplier mayOrder) {
            ordered.add(runner.id());
            return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
        }
    }

    /** Confirms each write at once and counts those of the lease. Not thread-safe. */
    private static final class Store implements ObjectStore {
        private int leaseWrites;

        private CompletableFuture<StoredItem> write(String name, byte[] content) {
            leaseWrites++;
            return CompletableFuture.completedFuture(
                    new StoredItem(name, 10 + leaseWrites, content));
        }

        @Override
        public CompletableFuture<StoredItem> create(String kind, String name, byte[] content) {
            return write(name, content);
        }

        @Override
        public CompletableFuture<StoredItem> replace(String kind, StoredItem item) {
            return write(item.name(), item.content());
        }

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<StoredItem> read(String kind, String name) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> remove(String kind, StoredItem item) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<StoredItem> writeStatus(
                String kind, String name, long revision, byte[] status) {
            return new CompletableFuture<>();
        }
    }
}
