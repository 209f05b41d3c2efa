package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemPage;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that keeps an older configuration than the platform because a change never
 * reaches it.
 */
class KindWatchTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /**
     * The platform changes an object but loses the event: the watch returns nothing, with a
     * revision after the change, and then the watches are cut. A watch that continues from that
     * revision never returns the change, and requests are served by the replaced configuration.
     */
    @Test
    void changeWhoseEventWasLostIsListedAfterTheWatchIsCut() throws Exception {
        ObjectMirror mirror = new ObjectMirror();
        CountDownLatch changeReceived = new CountDownLatch(1);
        KindWatch.Listener listener =
                new KindWatch.Listener() {
                    @Override
                    public void onChange(String kind) {
                        if (mirror.items().stream().anyMatch(item -> item.revision() == 7)) {
                            changeReceived.countDown();
                        }
                    }

                    @Override
                    public void onReachable(String kind, boolean reachable) {
                        // This test does not depend on whether the platform is reachable.
                    }
                };
        KindWatch watch =
                new KindWatch("kind", group.next(), new EventLosingStore(), mirror, listener);
        group.next().execute(watch::start);
        assertThat(changeReceived.await(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Objects that change continuously must not cost one call for each change. */
    @Test
    void changesInQuickSuccessionAreBatched() throws Exception {
        ContinuouslyChangingStore store = new ContinuouslyChangingStore();
        KindWatch.Listener listener =
                new KindWatch.Listener() {
                    @Override
                    public void onChange(String kind) {
                        // Only the number of calls matters.
                    }

                    @Override
                    public void onReachable(String kind, boolean reachable) {
                        // The platform is always reachable.
                    }
                };
        KindWatch watch = new KindWatch("kind", group.next(), store, new ObjectMirror(), listener);
        group.next().execute(watch::start);
        Thread.sleep(2_000);
        assertThat(store.watches.get()).isAtMost(9);
        assertThat(store.watches.get()).isAtLeast(3);
    }

    /**
     * The platform never receives a watch. A check finds the change that the watch should have
     * returned, and a new watch replaces the lost one.
     */
    @Test
    void checkReplacesAWatchThatWasNeverReceived() throws Exception {
        SilentWatchStore store = new SilentWatchStore();
        ObjectMirror mirror = new ObjectMirror();
        KindWatch watch = new KindWatch("kind", group.next(), store, mirror, NO_LISTENER);
        group.next().submit(watch::start).get();
        assertThat(group.next().submit(watch::isWatching).get()).isTrue();
        long revision = group.next().submit(watch::check).get().get(10, TimeUnit.SECONDS);
        assertThat(revision).isEqualTo(7);
        assertThat(group.next().submit(mirror::revision).get()).isEqualTo(7);
        assertThat(store.watchedFrom).containsExactly(5L, 7L).inOrder();
    }

    /** The watch is alive and nothing has changed, so the check must not replace it. */
    @Test
    void checkWithoutChangesKeepsTheWatch() throws Exception {
        SilentWatchStore store = new SilentWatchStore();
        store.changed = false;
        KindWatch watch =
                new KindWatch("kind", group.next(), store, new ObjectMirror(), NO_LISTENER);
        group.next().submit(watch::start).get();
        group.next().submit(watch::check).get().get(10, TimeUnit.SECONDS);
        assertThat(store.watchedFrom).containsExactly(5L);
    }

    /** A peer returns a change, and the watch that should have returned it stays silent. */
    @Test
    void watchThatMissesAChangeKnownToAPeerIsReplaced() throws Exception {
        SilentWatchStore store = new SilentWatchStore();
        KindWatch watch =
                new KindWatch("kind", group.next(), store, new ObjectMirror(), NO_LISTENER);
        group.next().submit(watch::start).get();
        group.next().submit(watch::expectChange).get();
        assertThat(store.secondWatch.await(10, TimeUnit.SECONDS)).isTrue();
    }

    private static final KindWatch.Listener NO_LISTENER =
            new KindWatch.Listener() {
                @Override
                public void onChange(String kind) {
                    // The mirror shows what has changed.
                }

                @Override
                public void onReachable(String kind, boolean reachable) {
                    // The platform always responds to lists and checks.
                }
            };

    /**
     * Never responds to a watch; a check returns the change that the watch should have returned.
     */
    private static final class SilentWatchStore extends WatchedStore {
        private final List<Long> watchedFrom = new CopyOnWriteArrayList<>();
        private final CountDownLatch secondWatch = new CountDownLatch(2);
        private volatile boolean changed = true;

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            return CompletableFuture.completedFuture(new ItemPage(List.of(), false, 5));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            watchedFrom.add(revision);
            secondWatch.countDown();
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            StoredItem item = new StoredItem("main", 7, new byte[0]);
            List<ItemChanges.ItemChange> changes =
                    changed ? List.of(new ItemChanges.ItemChange(item, false)) : List.of();
            return CompletableFuture.completedFuture(new ItemChanges(changes, 7));
        }
    }

    /** A store that supports lists and watches only. */
    private abstract static class WatchedStore implements ObjectStore {
        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            throw new UnsupportedOperationException("this test makes no check");
        }

        @Override
        public CompletableFuture<StoredItem> read(String kind, String name) {
            throw new UnsupportedOperationException("a watch reads no single object");
        }

        @Override
        public CompletableFuture<StoredItem> create(String kind, String name, byte[] content) {
            throw new UnsupportedOperationException("a watch writes nothing");
        }

        @Override
        public CompletableFuture<StoredItem> replace(String kind, StoredItem item) {
            throw new UnsupportedOperationException("a watch writes nothing");
        }

        @Override
        public CompletableFuture<Void> remove(String kind, StoredItem item) {
            throw new UnsupportedOperationException("a watch writes nothing");
        }

        @Override
        public CompletableFuture<StoredItem> writeStatus(
                String kind, String name, long revision, byte[] status) {
            throw new UnsupportedOperationException("a watch writes nothing");
        }
    }

    /** Responds to each watch at once with a change. */
    private static final class ContinuouslyChangingStore extends WatchedStore {
        private final AtomicInteger watches = new AtomicInteger();

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            return CompletableFuture.completedFuture(new ItemPage(List.of(), false, 1));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            watches.incrementAndGet();
            StoredItem item = new StoredItem("main", revision + 1, new byte[0]);
            ItemChanges.ItemChange change = new ItemChanges.ItemChange(item, false);
            return CompletableFuture.completedFuture(
                    new ItemChanges(List.of(change), revision + 1));
        }
    }

    /**
     * The first list has an object of revision 5, later ones have revision 7; the watches lose the
     * change between them.
     */
    private static final class EventLosingStore extends WatchedStore {
        private int lists;

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            lists++;
            long revision = lists == 1 ? 5 : 7;
            StoredItem item = new StoredItem("main", revision, new byte[0]);
            long listRevision = lists == 1 ? 8 : 10;
            return CompletableFuture.completedFuture(
                    new ItemPage(List.of(item), false, listRevision));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            if (revision == 8) {
                return CompletableFuture.completedFuture(new ItemChanges(List.of(), 9));
            }
            return lists == 1
                    ? CompletableFuture.failedFuture(
                            new StoreException(StoreException.Problem.UNAVAILABLE, "cut"))
                    : new CompletableFuture<>();
        }
    }
}
