package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.fleet.MemberTable;
import org.junit.jupiter.api.Test;

/** Guards against state of a pool that is not stored again after its object was removed. */
class PoolObjectsTest {
    private static final byte[] CONTENT = {1};
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
}
