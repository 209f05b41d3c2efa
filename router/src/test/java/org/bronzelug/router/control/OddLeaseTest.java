package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.order.LoadOrder;
import org.bronzelug.router.order.OrderOutcome;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.order.RunnerReport;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an order lease that another writer has removed or overwritten, because of which no
 * VM gives orders any more: it is written for ever at a revision that it no longer has, or holds a
 * fencing token that runners compare with those of all later holders.
 */
class OddLeaseTest {
    private static final String MODEL = "m";
    private static final String LEASE = "weights";
    private static final String OWN =
            "{\"holder\":\"vm\",\"incarnation\":\"%s\",\"fence\":%s,\"renewal\":1}";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final DefaultEventLoop control = new DefaultEventLoop();
    private final OneRunnerDecoder decoder = new OneRunnerDecoder(MODEL);
    private final ControlState state = new ControlState(decoder, 0, 1_200);
    private final List<Write> writes = new ArrayList<>();
    private final OrderService orders = orders();
    private long revision = 100;

    /** A write of the lease; empty revision where it was created. */
    private record Write(Optional<Long> revision, long fence) {}

    @BeforeEach
    void listOthers() {
        list(decoder.configurationKind(), new StoredItem("main", 1, new byte[0]));
        list(decoder.endpointKind(), new StoredItem("a", 1, new byte[0]));
        list(decoder.weightsKind(), new StoredItem(MODEL, 2, new byte[0]));
    }

    @AfterEach
    void stop() {
        control.shutdownGracefully();
    }

    private void list(String kind, StoredItem... items) {
        state.mirror(kind).replaceAll(new ItemList(List.of(items), ++revision));
        state.onChange(kind);
        orders.onChange(kind);
    }

    private static StoredItem lease(long leaseRevision, String content) {
        return new StoredItem(LEASE, leaseRevision, content.getBytes(StandardCharsets.UTF_8));
    }

    private Write lastWrite() {
        return writes.get(writes.size() - 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"before", "incarnation"})
    void aRemovedLeaseIsCreatedAgainWithALaterToken(String incarnation) {
        list(ControlState.LEASE_KIND, lease(50, OWN.formatted(incarnation, "40")));
        orders.round();
        assertThat(lastWrite().revision()).hasValue(50);
        long fence = lastWrite().fence();
        list(ControlState.LEASE_KIND);
        orders.round();
        assertThat(lastWrite().revision()).isEmpty();
        assertThat(lastWrite().fence()).isGreaterThan(fence);
        assertThat(lastWrite().fence()).isGreaterThan(50);
    }

    /** The list may have been read before the lease was created. */
    @Test
    void anEarlierListWithoutTheLeaseDoesNotRemoveIt() {
        list(ControlState.LEASE_KIND);
        revision += 10;
        orders.round();
        assertThat(lastWrite().revision()).isEmpty();
        long written = revision;
        revision -= 9;
        list(ControlState.LEASE_KIND);
        assertThat(state.mirror(ControlState.LEASE_KIND).revision()).isLessThan(written);
        orders.round();
        assertThat(writes).hasSize(1);
    }

    /** A token that was not derived from a revision of the store would outlast all later ones. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "1000000000000000000",
                "51",
                "0",
                "-7",
                "\"40\"",
                "4.5",
                "null",
                "[]",
                "1e3"
            })
    void anOddTokenIsNotRenewed(String fence) {
        list(ControlState.LEASE_KIND, lease(50, OWN.formatted("incarnation", fence)));
        orders.round();
        assertThat(writes).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[", "null", "7", "[]", "{}", "{\"holder\":7,\"fence\":[]}"})
    void anUnreadableLeaseIsNotTakenAtOnce(String content) {
        list(ControlState.LEASE_KIND, lease(50, content));
        orders.round();
        assertThat(writes).isEmpty();
    }

    private OrderService orders() {
        ObjectStore store =
                (ObjectStore)
                        Proxy.newProxyInstance(
                                ObjectStore.class.getClassLoader(),
                                new Class<?>[] {ObjectStore.class},
                                (proxy, method, arguments) ->
                                        method.getName().equals("replace")
                                                ? replace((StoredItem) arguments[1])
                                                : create((byte[]) arguments[2]));
        return OnlyVm.orders(control, store, state, new SilentRunners());
    }

    private CompletableFuture<StoredItem> replace(StoredItem item) {
        return write(Optional.of(item.revision()), item.content());
    }

    private CompletableFuture<StoredItem> create(byte[] content) {
        return write(Optional.empty(), content);
    }

    private CompletableFuture<StoredItem> write(Optional<Long> from, byte[] content) {
        try {
            JsonNode lease = JSON.readTree(content);
            writes.add(new Write(from, lease.path("fence").asLong()));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
        return CompletableFuture.completedFuture(new StoredItem(LEASE, ++revision, content));
    }

    /** Runners that never respond. */
    private static final class SilentRunners implements OrderService.Runners {
        @Override
        public CompletableFuture<RunnerReport> report(EndpointEntry runner) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<OrderOutcome> load(
                EndpointEntry runner, LoadOrder order, BooleanSupplier mayOrder) {
            return new CompletableFuture<>();
        }
    }
}
