package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.poison.QuarantinedParts;
import org.bronzelug.router.fleet.MemberTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the loss of stored quarantines when a VM starts. */
class StoredQuarantinesTest {
    private static final String STORED =
            """
            {"quarantines":[{"untilMillis":%d,"times":1,"confirmed":true,"parts":["bad"],
            "softwareVersions":["v1"]}]}""";
    private static final long MINUTE_MILLIS = 60_000;

    private final RecordingStore store = new RecordingStore();
    private final List<QuarantinedParts> read = new ArrayList<>();
    private final StoredQuarantines stored =
            new StoredQuarantines(
                    new DefaultEventLoop(), store, "vm-1", new MemberTable("vm-1"), this::adopt);

    private Runnable onAdopted = () -> {};

    private void adopt(List<QuarantinedParts> quarantines, Runnable whenAdopted) {
        read.addAll(quarantines);
        onAdopted = whenAdopted;
    }

    private void startWithAStoredQuarantine() {
        String content = STORED.formatted(System.currentTimeMillis() + MINUTE_MILLIS);
        store.create(StoredQuarantines.KIND, "pool", content.getBytes(StandardCharsets.UTF_8));
        store.calls().clear();
        stored.start();
    }

    /** The traffic thread may have reported before it got what was read. */
    @Test
    void aReportFromBeforeTheAdoptionDoesNotRemoveAStoredQuarantine() {
        startWithAStoredQuarantine();
        assertThat(read.get(0).parts()).containsExactly(PartKey.of("pool", "bad"));
        stored.round(List.of());
        assertThat(store.calls()).containsExactly("list");
    }

    @Test
    void aQuarantineThatHasEndedIsRemoved() {
        startWithAStoredQuarantine();
        onAdopted.run();
        stored.round(read);
        assertThat(store.calls()).containsExactly("list");
        stored.round(List.of());
        assertThat(store.calls()).containsExactly("list", "replace").inOrder();
    }

    /**
     * Guards against an object of another writer that stays as it is, and is logged in every round
     * of every VM.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "[", "7", "null", "[]", "{\"quarantines\":7}", "\u00ff{"})
    void anUnreadableObjectIsReplacedOnce(String content) {
        store.create(StoredQuarantines.KIND, "pool", content.getBytes(StandardCharsets.UTF_8));
        store.calls().clear();
        stored.start();
        onAdopted.run();
        for (int round = 0; round < 10; round++) {
            stored.round(List.of());
        }
        assertThat(read).isEmpty();
        assertThat(store.calls()).containsExactly("list", "replace").inOrder();
        store.read(StoredQuarantines.KIND, "pool");
        assertThat(store.calls().get(2)).isEqualTo("read {}");
    }
}
