package org.bronzelug.router.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Each future completes on the control thread and fails with a {@link
 * StoreException}; a write that fails with {@code UNAVAILABLE} or {@code UNANSWERED} may still take
 * effect later. Thread-safe.
 */
public interface ObjectStore {
    /** Lists all objects of a kind, page by page. */
    default CompletableFuture<ItemList> list(String kind) {
        return new PagedList(this, kind).read();
    }

    /**
     * Reads one page of the list of a kind's objects.
     *
     * @param after name after which the page begins; empty for the first page
     */
    CompletableFuture<ItemPage> page(String kind, Optional<String> after);

    /**
     * Waits a limited time for changes after a revision; if there are none, the result is empty and
     * not a failure.
     */
    CompletableFuture<ItemChanges> watch(String kind, long revision);

    /** Returns the changes after a revision so far, without waiting for one. */
    CompletableFuture<ItemChanges> changes(String kind, long revision);

    /** Reads one object. */
    CompletableFuture<StoredItem> read(String kind, String name);

    /** Creates an object; fails with {@code CONFLICT} if it exists. */
    CompletableFuture<StoredItem> create(String kind, String name, byte[] content);

    /**
     * Replaces an object if it has the item's revision; fails with {@code CONFLICT} if it has
     * another.
     */
    CompletableFuture<StoredItem> replace(String kind, StoredItem item);

    /** Removes an object if it has the item's revision; fails with {@code CONFLICT} if not. */
    CompletableFuture<Void> remove(String kind, StoredItem item);

    /**
     * Replaces an object's status if the object has this revision; fails with {@code CONFLICT} if
     * it has another.
     */
    CompletableFuture<StoredItem> writeStatus(
            String kind, String name, long revision, byte[] status);
}
