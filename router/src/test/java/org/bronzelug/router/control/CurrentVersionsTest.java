package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.bronzelug.router.stream.RecentVersions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a read of the platform from before a lookup that counts for it, and against calls
 * to the platform for each resumption of a stream.
 */
class CurrentVersionsTest {
    private static final String ENDPOINTS = "endpoints";
    private static final String SET = "{\"windowMillis\":5000,\"versions\":[\"v1\"]}";
    private static final RecentVersions VERSIONS =
            new RecentVersions(Map.of("pool", Set.of("v1")), 5_000, true);

    /** Longer than a read is waited for. */
    private static final long PAST_LIMIT_MILLIS = 400;

    /** Longer than the time between the begins of two reads. */
    private static final long PAST_INTERVAL_MILLIS = 300;

    /** Longer than no read begins after a failed one. */
    private static final long PAST_PAUSE_MILLIS = 600;

    private final EventLoop control = new DefaultEventLoop();
    private final ObjectMirror mirror = new ObjectMirror();
    private final List<CompletableFuture<ItemList>> lists = new ArrayList<>();
    private final List<CompletableFuture<ItemChanges>> changes = new ArrayList<>();
    private final List<String> applied = new ArrayList<>();
    private final List<Optional<RecentVersions>> results = new ArrayList<>();
    private final CurrentVersions versions =
            new CurrentVersions(control, store(), ENDPOINTS, mirror, applied::add);

    @AfterEach
    void stop() {
        control.shutdownGracefully();
    }

    /** A store whose responses the test gives. */
    private ObjectStore store() {
        return (ObjectStore)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {ObjectStore.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "list" -> add(lists);
                                    case "changes" -> add(changes);
                                    default -> throw new UnsupportedOperationException();
                                });
    }

    private static <T> CompletableFuture<T> add(List<CompletableFuture<T>> calls) {
        CompletableFuture<T> call = new CompletableFuture<>();
        calls.add(call);
        return call;
    }

    private static StoredItem item(String name, String content) {
        return new StoredItem(name, 2, content.getBytes(StandardCharsets.UTF_8));
    }

    private void onControl(Runnable step) throws Exception {
        control.submit(step).get(10, TimeUnit.SECONDS);
    }

    private void listEndpoints() throws Exception {
        onControl(() -> mirror.replaceAll(new ItemList(List.of(), 1)));
    }

    private void read() throws Exception {
        onControl(() -> versions.read(results::add));
    }

    private void respond(int call) throws Exception {
        ItemChanges change =
                new ItemChanges(
                        List.of(new ItemChanges.ItemChange(item("endpoint", "{}"), false)), 2);
        onControl(() -> changes.get(call).complete(change));
        onControl(() -> lists.get(call).complete(new ItemList(List.of(item("pool", SET)), 2)));
    }

    @Test
    void aResultIsOfCallsThatBeganAfterItWasAskedFor() throws Exception {
        listEndpoints();
        read();
        read();
        read();
        assertThat(lists).hasSize(1);
        respond(0);
        assertThat(results).containsExactly(Optional.of(VERSIONS));
        assertThat(applied).containsExactly(ENDPOINTS);
        TimeUnit.MILLISECONDS.sleep(PAST_INTERVAL_MILLIS);
        onControl(() -> assertThat(lists).hasSize(2));
        respond(1);
        assertThat(results).hasSize(3);
        assertThat(lists).hasSize(2);
        assertThat(changes).hasSize(2);
    }

    /** Guards against two calls for each stream that is resumed after a VM has died. */
    @Test
    void readsBeginAtIntervals() throws Exception {
        listEndpoints();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        int responses = 0;
        while (System.nanoTime() < endNanos) {
            read();
            if (lists.size() > responses) {
                respond(responses++);
            }
        }
        assertThat(lists.size()).isAtLeast(2);
        assertThat(lists.size()).isAtMost(6);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFailureEndsAllReadsAndIsFollowedByAPause(boolean silent) throws Exception {
        listEndpoints();
        read();
        read();
        if (silent) {
            TimeUnit.MILLISECONDS.sleep(PAST_LIMIT_MILLIS);
        } else {
            StoreException rejected =
                    new StoreException(StoreException.Problem.UNAVAILABLE, "rejected");
            onControl(() -> changes.get(0).completeExceptionally(rejected));
            onControl(() -> lists.get(0).completeExceptionally(rejected));
        }
        read();
        onControl(() -> assertThat(results).hasSize(3));
        assertThat(results.stream().distinct().toList()).containsExactly(Optional.empty());
        assertThat(lists).hasSize(1);
        TimeUnit.MILLISECONDS.sleep(PAST_PAUSE_MILLIS);
        read();
        assertThat(lists).hasSize(2);
    }

    /** A response that is late belongs to no read that is waited for. */
    @Test
    void aLateResponseEndsNoLaterRead() throws Exception {
        listEndpoints();
        read();
        TimeUnit.MILLISECONDS.sleep(PAST_LIMIT_MILLIS + PAST_PAUSE_MILLIS);
        read();
        respond(0);
        assertThat(results).containsExactly(Optional.empty());
        respond(1);
        assertThat(results).containsExactly(Optional.empty(), Optional.of(VERSIONS)).inOrder();
    }

    @Test
    void nothingIsReadBeforeTheEndpointsAreListed() throws Exception {
        read();
        assertThat(results).containsExactly(Optional.empty());
        assertThat(lists).isEmpty();
    }
}
