package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.router.fleet.MemberTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against origins of streams that are lost with all VMs although they were stored. */
class StoredOriginsTest {
    private static final String VM = "vm-1";
    private static final long OPEN_MILLIS = 20_000;
    private static final long TIMEOUT_SECONDS = 10;

    private final RecordingStore store = new RecordingStore();
    private final StoredOrigins stored = new StoredOrigins(new DefaultEventLoop(), store, VM);

    private static StreamOrigin origin(String request, String version, long openMillis) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(openMillis);
        return new StreamOrigin(
                StreamKey.of(Optional.of("team"), request), "pool", version, untilNanos);
    }

    private static StreamOrigin origin(String request, String version) {
        return origin(request, version, OPEN_MILLIS);
    }

    private static List<StreamKey> keys(byte[] content) throws IOException {
        return StreamOriginCodec.decode(content, System.nanoTime()).stream()
                .map(StreamOrigin::key)
                .toList();
    }

    private void roundUntil(String call) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!store.calls().contains(call) && System.nanoTime() < end) {
            stored.round(1);
        }
        assertThat(store.calls()).contains(call);
    }

    @Test
    void originsAreDecodedAsTheyWereEncoded() throws Exception {
        List<StreamOrigin> origins =
                List.of(origin("a", "v1"), origin("b", "v2"), origin("c", "v1"));
        byte[] content = StreamOriginCodec.encode(origins, System.nanoTime());
        List<String> decoded = new ArrayList<>();
        for (StreamOrigin origin : StreamOriginCodec.decode(content, System.nanoTime())) {
            decoded.add(origin.key() + origin.pool() + origin.softwareVersion());
            long openNanos = origin.untilNanos() - System.nanoTime();
            assertThat(openNanos).isGreaterThan(0);
            assertThat(openNanos).isAtMost(TimeUnit.MILLISECONDS.toNanos(OPEN_MILLIS));
        }
        List<String> expected =
                origins.stream()
                        .map(origin -> origin.key() + origin.pool() + origin.softwareVersion())
                        .toList();
        assertThat(decoded).containsExactlyElementsIn(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[",
                "{\"origins\":[1]}",
                "{\"origins\":[{\"pool\":\"p\",\"softwareVersion\":1,\"keys\":\"\"}]}",
                "{\"origins\":[{\"pool\":\"p\",\"softwareVersion\":\"v\",\"keys\":\"AAAA\"}]}",
                "{\"origins\":[{\"pool\":\"p\",\"softwareVersion\":\"v\",\"keys\":\"%\"}]}"
            })
    void malformedOriginsAreNotUsed(String content) {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> StreamOriginCodec.decode(bytes, 0));
    }

    @Test
    void originsOfAnEarlierStartRemain() throws Exception {
        StreamOrigin former = origin("former", "v1");
        StreamOrigin begun = origin("begun", "v2");
        store.create(
                StoredOrigins.KIND,
                VM,
                StreamOriginCodec.encode(List.of(former), System.nanoTime()));
        stored.start();
        stored.add(List.of(begun));
        roundUntil("replace");
        assertThat(keys(store.read(StoredOrigins.KIND, VM).get().content()))
                .containsExactly(former.key(), begun.key());
    }

    @Test
    void nothingIsWrittenBeforeTheEarlierStartWasRead() {
        stored.add(List.of(origin("begun", "v1")));
        stored.round(1);
        assertThat(store.calls()).isEmpty();
    }

    @Test
    void theObjectIsRemovedOnceAllStreamsHaveEnded() {
        stored.start();
        stored.add(List.of(origin("short", "v1", 100)));
        roundUntil("create");
        roundUntil("remove");
    }

    @Test
    void originsOfCompleteStreamsAreLeftOut() throws Exception {
        StreamOrigin complete = origin("complete", "v1");
        StreamOrigin open = origin("open", "v1");
        stored.start();
        stored.add(List.of(complete));
        roundUntil("create");
        stored.forget(complete.key());
        stored.add(List.of(open));
        roundUntil("replace");
        assertThat(keys(store.read(StoredOrigins.KIND, VM).get().content()))
                .containsExactly(open.key());
    }

    @Test
    void severalLookupsReadTheObjectsOnce() {
        StreamOrigin kept = origin("kept", "v1");
        store.create(
                StoredOrigins.KIND,
                "vm-2",
                StreamOriginCodec.encode(List.of(kept), System.nanoTime()));
        store.calls().clear();
        List<Boolean> found = new ArrayList<>();
        for (StreamKey key : List.of(kept.key(), kept.key(), origin("other", "v1").key())) {
            stored.find(key, archived -> found.add(archived.origin().isPresent()));
        }
        assertThat(found).containsExactly(true, true, false).inOrder();
        assertThat(store.calls()).containsExactly("list");
    }

    /** An object whose VM is gone stays until its streams have ended, not longer. */
    @Test
    void objectsOfVmsThatAreGoneAreRemoved() {
        StoredOriginsCleanup cleanup = new StoredOriginsCleanup(store, VM, new MemberTable(VM));
        store.create(
                StoredOrigins.KIND,
                "gone",
                StreamOriginCodec.encode(
                        List.of(origin("ended", "v1", OPEN_MILLIS)), System.nanoTime()));
        long minuteNanos = TimeUnit.MINUTES.toNanos(1);
        long nowNanos = System.nanoTime();
        cleanup.round(nowNanos + minuteNanos);
        assertThat(store.calls()).doesNotContain("remove");
        cleanup.round(nowNanos + 2 * minuteNanos + 1);
        assertThat(store.calls()).contains("remove");
    }
}
