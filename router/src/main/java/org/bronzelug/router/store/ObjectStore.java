package org.bronzelug.router.store;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's store, through its one client. Each future completes on the control thread, and
 * fails with a {@link StoreException}; a write that fails with {@code UNAVAILABLE} may still take
 * effect later. Thread-safe.
 */
public interface ObjectStore {
    /** All objects of a kind, as of now. */
    CompletableFuture<ItemList> list(String kind);

    /** Waits for changes after a revision, for a while; no change is no failure. */
    CompletableFuture<ItemChanges> watch(String kind, long revision);

    /** The changes after a revision so far, without waiting for one. */
    CompletableFuture<ItemChanges> changes(String kind, long revision);

    /** One object. */
    CompletableFuture<StoredItem> read(String kind, String name);

    /** Creates an object; {@code CONFLICT} where it exists. */
    CompletableFuture<StoredItem> create(String kind, String name, byte[] content);

    /** Replaces an object of this revision; {@code CONFLICT} where it has another. */
    CompletableFuture<StoredItem> replace(String kind, StoredItem item);
}
