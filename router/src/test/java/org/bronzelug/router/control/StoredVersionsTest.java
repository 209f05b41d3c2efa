package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.stream.RecentVersions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a set of versions on the platform that lacks one which streams have begun at. */
class StoredVersionsTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final String READABLE = "{\"windowMillis\":5000,\"versions\":[\"v1\"]}";
    private static final String BOTH = "{\"windowMillis\":5000,\"versions\":[\"v1\",\"v2\"]}";

    private final RecordingStore store = new RecordingStore();
    private final List<RecentVersions> read = new ArrayList<>();

    private final List<String> storedSets = new ArrayList<>();

    private StoredVersions start(boolean fleetStarts) {
        StoredVersions stored =
                new StoredVersions(
                        new DefaultEventLoop(),
                        store,
                        "vm-1",
                        new MemberTable("vm-1"),
                        fleetStarts,
                        new StoredVersions.Listener() {
                            @Override
                            public void onRead(RecentVersions versions) {
                                read.add(versions);
                            }

                            @Override
                            public void onStored(
                                    String pool, Set<String> versions, Set<String> added) {
                                storedSets.add(pool + versions);
                            }
                        });
        stored.start();
        return stored;
    }

    private static RecentVersions recent(Map<String, Set<String>> byPool, boolean complete) {
        return new RecentVersions(byPool, 20_000, complete);
    }

    private void put(String pool, String content) {
        store.create(StoredVersions.KIND, pool, content.getBytes(StandardCharsets.UTF_8));
    }

    private String content(String pool) throws Exception {
        byte[] content = store.read(StoredVersions.KIND, pool).get().content();
        return new String(content, StandardCharsets.UTF_8);
    }

    /** Runs rounds until the object of a pool has a content. */
    private void roundUntil(
            StoredVersions stored, RecentVersions recent, String pool, String expected)
            throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!content(pool).equals(expected) && System.nanoTime() < end) {
            stored.round(recent);
        }
        assertThat(content(pool)).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[",
                "{}",
                "{\"versions\":\"v1\"}",
                "{\"versions\":[1]}",
                "{\"versions\":[]}"
            })
    void aMalformedSetIsNotUsedAndNotReplacedByAPartOfIt(String malformed) throws Exception {
        put("malformed", malformed);
        put("pool", READABLE);
        StoredVersions stored = start(true);
        assertThat(read)
                .containsExactly(new RecentVersions(Map.of("pool", Set.of("v1")), 5_000, true));
        RecentVersions recent =
                recent(Map.of("malformed", Set.of("v2"), "pool", Set.of("v2")), false);
        roundUntil(stored, recent, "pool", BOTH);
        assertThat(content("malformed")).isEqualTo(malformed);
    }

    @Test
    void aMissingSetIsNotWrittenByAVmThatHasJustStarted() throws Exception {
        put("pool", READABLE);
        StoredVersions stored = start(false);
        RecentVersions recent =
                recent(Map.of("missing", Set.of("v2"), "pool", Set.of("v2")), false);
        roundUntil(stored, recent, "pool", BOTH);
        assertThat(store.calls()).doesNotContain("read nothing");
        assertThat(store.read(StoredVersions.KIND, "missing").isCompletedExceptionally()).isTrue();
    }

    /** A longer window is claimed only once all of it was watched. */
    @Test
    void theWindowOfASetIsTheOneThatItCovers() throws Exception {
        put("pool", READABLE);
        StoredVersions stored = start(false);
        Map<String, Set<String>> versions = Map.of("pool", Set.of("v2"));
        roundUntil(stored, recent(versions, false), "pool", BOTH);
        roundUntil(
                stored,
                recent(versions, true),
                "pool",
                "{\"windowMillis\":20000,\"versions\":[\"v2\"]}");
    }
}
