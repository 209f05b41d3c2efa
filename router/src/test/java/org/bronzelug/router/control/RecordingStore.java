package org.bronzelug.router.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemPage;
import org.bronzelug.router.store.ObjectStore;
import org.bronzelug.router.store.StoreException;
import org.bronzelug.router.store.StoredItem;

/** Keeps objects of one kind, responds at once and records the calls. Not thread-safe. */
final class RecordingStore implements ObjectStore {
    private final List<String> calls = new ArrayList<>();
    private final Map<String, StoredItem> items = new TreeMap<>();
    private long revision;

    /** Returns the names of the calls so far. */
    List<String> calls() {
        return calls;
    }

    @Override
    public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
        calls.add("list");
        return CompletableFuture.completedFuture(
                new ItemPage(List.copyOf(items.values()), false, revision));
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
        if (!items.containsKey(item.name())) {
            return absent();
        }
        return put(item.name(), item.content());
    }

    private CompletableFuture<StoredItem> put(String name, byte[] content) {
        StoredItem item = new StoredItem(name, ++revision, content);
        items.put(name, item);
        return CompletableFuture.completedFuture(item);
    }

    @Override
    public CompletableFuture<StoredItem> read(String kind, String name) {
        if (!items.containsKey(name)) {
            calls.add("read nothing");
            return absent();
        }
        calls.add("read " + new String(items.get(name).content(), StandardCharsets.UTF_8));
        return CompletableFuture.completedFuture(items.get(name));
    }

    private static CompletableFuture<StoredItem> absent() {
        return CompletableFuture.failedFuture(
                new StoreException(StoreException.Problem.ABSENT, "absent"));
    }

    @Override
    public CompletableFuture<Void> remove(String kind, StoredItem item) {
        calls.add("remove");
        items.remove(item.name());
        return CompletableFuture.completedFuture(null);
    }

    /** Removes an object, as an operator does. */
    void remove(String name) {
        items.remove(name);
    }

    @Override
    public CompletableFuture<ItemChanges> watch(String kind, long sinceRevision) {
        throw new UnsupportedOperationException("watches nothing");
    }

    @Override
    public CompletableFuture<ItemChanges> changes(String kind, long sinceRevision) {
        throw new UnsupportedOperationException("watches nothing");
    }

    @Override
    public CompletableFuture<StoredItem> writeStatus(
            String kind, String name, long sinceRevision, byte[] status) {
        throw new UnsupportedOperationException("writes no status");
    }
}
