package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemPage;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/**
 * Keeps objects of one kind with their whole past, and responds to a call when it is told to: a
 * call reads the objects as they are when it is answered. Not thread-safe.
 */
final class PagedStore implements ObjectStore {
    private static final byte[] NO_CONTENT = new byte[0];

    private final int pageSize;
    private final SortedMap<String, Long> objects = new TreeMap<>();
    private final List<Map<String, Long>> past = new ArrayList<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Call<?>> waiting = new ArrayList<>();
    private long historyStart;
    private int lists;
    private int throwingCalls;

    PagedStore(int pageSize) {
        this.pageSize = pageSize;
        past.add(Map.of());
        put("a");
    }

    long revision() {
        return past.size() - 1;
    }

    /** Returns the revision of each object's last change, as it was at a revision. */
    Map<String, Long> objectsAt(long revision) {
        return past.get((int) revision);
    }

    void put(String name) {
        long revision = revision() + 1;
        objects.put(name, revision);
        record(new Change(revision, new StoredItem(name, revision, NO_CONTENT), false));
    }

    void remove(String name) {
        Long last = objects.remove(name);
        if (last != null) {
            record(new Change(revision() + 1, new StoredItem(name, last, NO_CONTENT), true));
        }
    }

    private void record(Change change) {
        history.add(change);
        past.add(new HashMap<>(objects));
    }

    /** Discards the history up to now. */
    void discardHistory() {
        historyStart = revision();
    }

    /** Returns how many lists have been begun. */
    int lists() {
        return lists;
    }

    int waitingCalls() {
        return waiting.size();
    }

    /** Returns how many of the waiting calls ask for changes. */
    long waitingWatches() {
        return waiting.stream().filter(call -> call.kind == Kind.CHANGES).count();
    }

    /** Answers one of the calls that wait. */
    void answer(int index) {
        waiting.remove(index % waiting.size()).answer();
    }

    /** Fails one of the calls that wait. */
    void fail(int index) {
        waiting.remove(index % waiting.size()).fail();
    }

    /** Has the next calls throw instead of returning a future. */
    void throwAtNextCalls(int calls) {
        throwingCalls = calls;
    }

    private void throwIfToldTo() {
        if (throwingCalls > 0) {
            throwingCalls--;
            throw new IllegalStateException("the call can't be made");
        }
    }

    @Override
    public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
        throwIfToldTo();
        lists += after.isEmpty() ? 1 : 0;
        return call(() -> page(after));
    }

    private ItemPage page(Optional<String> after) {
        List<StoredItem> items =
                objects.entrySet().stream()
                        .filter(object -> after.isEmpty() || isAfter(object.getKey(), after.get()))
                        .map(
                                object ->
                                        new StoredItem(
                                                object.getKey(), object.getValue(), NO_CONTENT))
                        .toList();
        boolean hasMore = items.size() > pageSize;
        return new ItemPage(hasMore ? items.subList(0, pageSize) : items, hasMore, revision());
    }

    private static boolean isAfter(String name, String after) {
        return name.compareTo(after) > 0;
    }

    @Override
    public CompletableFuture<ItemChanges> watch(String kind, long revision) {
        return changes(kind, revision);
    }

    @Override
    public CompletableFuture<ItemChanges> changes(String kind, long revision) {
        throwIfToldTo();
        CompletableFuture<ItemChanges> response = new CompletableFuture<>();
        waiting.add(
                new Call<>(
                        Kind.CHANGES,
                        response,
                        () -> changesAfter(revision),
                        () -> revision < historyStart));
        return response;
    }

    private ItemChanges changesAfter(long revision) {
        List<ItemChanges.ItemChange> changes =
                history.stream()
                        .filter(change -> change.revision > revision)
                        .map(change -> new ItemChanges.ItemChange(change.item, change.removed))
                        .toList();
        return new ItemChanges(changes, revision());
    }

    private <T> CompletableFuture<T> call(Supplier<T> read) {
        CompletableFuture<T> response = new CompletableFuture<>();
        waiting.add(new Call<>(Kind.PAGE, response, read, () -> false));
        return response;
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

    private record Change(long revision, StoredItem item, boolean removed) {}

    /** What a call reads. */
    private enum Kind {
        PAGE,
        CHANGES
    }

    /** A call that waits for its answer. */
    private record Call<T>(
            Kind kind,
            CompletableFuture<T> response,
            Supplier<T> read,
            Supplier<Boolean> historyGone) {
        private void answer() {
            if (historyGone.get()) {
                response.completeExceptionally(
                        new StoreException(StoreException.Problem.HISTORY_GONE, "discarded"));
            } else {
                response.complete(read.get());
            }
        }

        private void fail() {
            response.completeExceptionally(
                    new StoreException(StoreException.Problem.UNAVAILABLE, "cut"));
        }
    }
}
