package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.VmSettings;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.Test;

/**
 * Guards against a restart of the fleet that uses up the platform's rate of calls for
 * registrations.
 */
class VmRegistrationTest {
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 8, 3_000, 8_000, 8_000, 2_000, 0);

    private final Store store = new Store();
    private final DefaultEventLoop control = new DefaultEventLoop();
    private List<Candidate> listed = List.of();

    private void start(String vm, String zone, String address) {
        VmSettings settings =
                new VmSettings(
                        vm, zone, "10.0.0.9:80", address, address, List.of(), true, 1, BOUNDS);
        new VmRegistration(control, store, settings, new MemberTable(vm), found -> listed = found)
                .start();
    }

    @Test
    void restartOfARegisteredVmMakesTwoCalls() {
        start("vm-1", "north", "10.0.0.1:7600");
        store.calls.clear();
        start("vm-1", "north", "10.0.0.1:7600");
        assertThat(store.calls).containsExactly("create", "list").inOrder();
    }

    @Test
    void laterOfTwoVmsFindsTheEarlierOneWithItsZone() {
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-2", "south", "10.0.0.2:7600");
        assertThat(listed)
                .containsExactly(new Candidate("vm-1", "north", "10.0.0.1:7600", false, false));
    }

    @Test
    void vmThatRestartsAtAnotherAddressUpdatesItsEntry() {
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-1", "north", "10.0.0.7:7600");
        start("vm-2", "north", "10.0.0.2:7600");
        assertThat(listed.get(0).address()).isEqualTo("10.0.0.7:7600");
    }

    /** Responds at once and records the calls. Not thread-safe. */
    private static final class Store implements ObjectStore {
        private final List<String> calls = new ArrayList<>();
        private final Map<String, StoredItem> items = new TreeMap<>();
        private long revision;

        @Override
        public CompletableFuture<ItemList> list(String kind) {
            calls.add("list");
            return CompletableFuture.completedFuture(
                    new ItemList(List.copyOf(items.values()), revision));
        }

        @Override
        public CompletableFuture<StoredItem> create(String kind, String name, byte[] content) {
            calls.add("create");
            if (items.containsKey(name)) {
                return CompletableFuture.failedFuture(
                        new StoreException(StoreException.Problem.CONFLICT, "exists"));
            }
            return put(name, content);
        }

        @Override
        public CompletableFuture<StoredItem> replace(String kind, StoredItem item) {
            calls.add("replace");
            return put(item.name(), item.content());
        }

        private CompletableFuture<StoredItem> put(String name, byte[] content) {
            StoredItem item = new StoredItem(name, ++revision, content);
            items.put(name, item);
            return CompletableFuture.completedFuture(item);
        }

        @Override
        public CompletableFuture<StoredItem> read(String kind, String name) {
            calls.add("read " + new String(items.get(name).content(), StandardCharsets.UTF_8));
            return CompletableFuture.completedFuture(items.get(name));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long sinceRevision) {
            throw new UnsupportedOperationException("registration watches nothing");
        }

        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long sinceRevision) {
            throw new UnsupportedOperationException("registration watches nothing");
        }

        @Override
        public CompletableFuture<StoredItem> writeStatus(
                String kind, String name, long sinceRevision, byte[] status) {
            throw new UnsupportedOperationException("writes no status");
        }
    }
}
