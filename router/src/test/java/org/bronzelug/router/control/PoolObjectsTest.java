package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against state of a pool that is not stored again after its object was removed. */
class PoolObjectsTest {
    private static final byte[] CONTENT = {1};
    private static final byte[] OTHER_CONTENT = {2};
    private static final long TIMEOUT_SECONDS = 10;

    @Test
    void objectThatIsGoneIsCreatedAgain() {
        RecordingStore store = new RecordingStore();
        store.create("kind", "pool", CONTENT);
        PoolObjects objects =
                new PoolObjects(
                        new DefaultEventLoop(),
                        store,
                        "vm-1",
                        new MemberTable("vm-1"),
                        "kind",
                        LogEvent.POOL_VERSIONS_WRITTEN,
                        items -> {});
        objects.start();
        store.remove("pool");
        store.calls().clear();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!store.calls().contains("create") && System.nanoTime() < end) {
            objects.writeIfDue("pool", () -> CONTENT, "");
        }
        assertThat(store.calls()).containsExactly("replace", "read nothing", "create").inOrder();
    }

    /** Without the read, each change costs the writes of all VMs that may write. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aVmReadsWhetherThePreviousOneHasWritten(boolean hasWritten) {
        List<String> order = Rendezvous.order("pool", List.of("vm-1", "vm-2"));
        String second = order.get(1);
        MemberTable members = new MemberTable(second);
        members.update(
                VmState.newBuilder()
                        .setVm(order.get(0))
                        .setIncarnation("i")
                        .setSequence(1)
                        .setPeersAddress("127.0.0.1:9")
                        .build(),
                System.nanoTime());
        RecordingStore store = new RecordingStore();
        store.create("kind", "pool", CONTENT);
        PoolObjects objects =
                new PoolObjects(
                        new DefaultEventLoop(),
                        store,
                        second,
                        members,
                        "kind",
                        LogEvent.POOL_VERSIONS_WRITTEN,
                        items -> {});
        objects.start();
        if (hasWritten) {
            store.replace("kind", new StoredItem("pool", 1, OTHER_CONTENT));
        }
        store.calls().clear();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!isEqual(objects) && System.nanoTime() < end) {
            objects.writeIfDue("pool", () -> OTHER_CONTENT, "");
        }
        assertThat(store.calls().get(0)).startsWith("read");
        assertThat(store.calls().contains("replace")).isEqualTo(!hasWritten);
    }

    private static boolean isEqual(PoolObjects objects) {
        return objects.find("pool")
                .filter(item -> Arrays.equals(item.content(), OTHER_CONTENT))
                .isPresent();
    }
}
