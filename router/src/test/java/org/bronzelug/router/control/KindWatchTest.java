package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.ObjectMirror;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A VM has an older configuration than the platform, and nothing tells it. */
class KindWatchTest {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /**
     * The platform changes an object, and the event is lost: the watch ends empty, with a revision
     * after the change. Then the watches are cut. A watch that goes on from that revision never
     * hears of the change, and callers are served by what was replaced seconds ago.
     */
    @Test
    void aChangeWhoseEventWasLostIsReadAfterTheCut() throws Exception {
        ObjectMirror mirror = new ObjectMirror();
        CountDownLatch known = new CountDownLatch(1);
        KindWatch.Listener listener =
                new KindWatch.Listener() {
                    @Override
                    public void onChange(String kind) {
                        if (mirror.items().stream().anyMatch(item -> item.revision() == 7)) {
                            known.countDown();
                        }
                    }

                    @Override
                    public void onReachable(String kind, boolean reachable) {
                        // The platform's being away is not what this is about.
                    }
                };
        KindWatch watch = new KindWatch("kind", group.next(), new LossyStore(), mirror, listener);
        group.next().execute(watch::start);
        assertThat(known.await(10, TimeUnit.SECONDS)).isTrue();
    }

    /** Objects that change all the time must not cost a call for each change. */
    @Test
    void changesThatFollowEachOtherAreGathered() throws Exception {
        ChangingStore store = new ChangingStore();
        KindWatch.Listener listener =
                new KindWatch.Listener() {
                    @Override
                    public void onChange(String kind) {
                        // Only the number of calls matters.
                    }

                    @Override
                    public void onReachable(String kind, boolean reachable) {
                        // The platform answers all the time.
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
     * told, and the next change comes by a new watch.
     */
    @Test
    void aCheckReplacesAWatchThatWasNeverReceived() throws Exception {
        SwallowingStore store = new SwallowingStore();
        ObjectMirror mirror = new ObjectMirror();
        KindWatch watch = new KindWatch("kind", group.next(), store, mirror, IGNORING);
        group.next().submit(watch::start).get();
        assertThat(group.next().submit(watch::isWaiting).get()).isTrue();
        long revision = group.next().submit(watch::check).get().get(10, TimeUnit.SECONDS);
        assertThat(revision).isEqualTo(7);
        assertThat(group.next().submit(mirror::revision).get()).isEqualTo(7);
        assertThat(store.watchedFrom).containsExactly(5L, 7L).inOrder();
    }

    /** The watch is alive and nothing has changed: it must not be sent again. */
    @Test
    void aCheckWithoutChangesLeavesTheWatchAlone() throws Exception {
        SwallowingStore store = new SwallowingStore();
        store.changed = false;
        KindWatch watch = new KindWatch("kind", group.next(), store, new ObjectMirror(), IGNORING);
        group.next().submit(watch::start).get();
        group.next().submit(watch::check).get().get(10, TimeUnit.SECONDS);
        assertThat(store.watchedFrom).containsExactly(5L);
    }

    /** A peer tells a change, and the watch that should have told it stays silent. */
    @Test
    void aWatchThatDoesNotTellWhatAPeerToldIsReplaced() throws Exception {
        SwallowingStore store = new SwallowingStore();
        KindWatch watch = new KindWatch("kind", group.next(), store, new ObjectMirror(), IGNORING);
        group.next().submit(watch::start).get();
        group.next().submit(watch::expectChange).get();
        assertThat(store.watchedTwice.await(10, TimeUnit.SECONDS)).isTrue();
    }

    private static final KindWatch.Listener IGNORING =
            new KindWatch.Listener() {
                @Override
                public void onChange(String kind) {
                    // The mirror shows what has changed.
                }

                @Override
                public void onReachable(String kind, boolean reachable) {
                    // The platform answers lists and checks all the time.
                }
            };

    /** Never answers a watch; a change that it should have told is there when it is asked. */
    private static final class SwallowingStore extends WatchedStore {
        private final List<Long> watchedFrom = new CopyOnWriteArrayList<>();
        private final CountDownLatch watchedTwice = new CountDownLatch(2);
        private volatile boolean changed = true;

        @Override
        public CompletableFuture<ItemList> list(String kind) {
            return CompletableFuture.completedFuture(new ItemList(List.of(), 5));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            watchedFrom.add(revision);
            watchedTwice.countDown();
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

    /** Is listed and watched only. */
    private abstract static class WatchedStore implements ObjectStore {
        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            throw new UnsupportedOperationException("nothing is checked");
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
    }

    /** Has a change for each watch at once. */
    private static final class ChangingStore extends WatchedStore {
        private final AtomicInteger watches = new AtomicInteger();

        @Override
        public CompletableFuture<ItemList> list(String kind) {
            return CompletableFuture.completedFuture(new ItemList(List.of(), 1));
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

    /** Lists revision 5 at first and 7 later; its watches lose the change between. */
    private static final class LossyStore extends WatchedStore {
        private int lists;

        @Override
        public CompletableFuture<ItemList> list(String kind) {
            lists++;
            long revision = lists == 1 ? 5 : 7;
            StoredItem item = new StoredItem("main", revision, new byte[0]);
            long listed = lists == 1 ? 8 : 10;
            return CompletableFuture.completedFuture(new ItemList(List.of(item), listed));
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
