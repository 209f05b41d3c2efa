package org.bronzelug.router.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Reads all pages of one list, one after the other. Used once. Confined to the thread on which the
 * store's futures complete.
 */
final class PagedList {
    private final ObjectStore store;
    private final String kind;
    private final List<StoredItem> items = new ArrayList<>();
    private int pages;
    private long firstRevision;

    PagedList(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    /** Reads the list. The future fails if any page can't be read. */
    CompletableFuture<ItemList> read() {
        return readAfter(Optional.empty());
    }

    private CompletableFuture<ItemList> readAfter(Optional<String> name) {
        return store.page(kind, name).thenCompose(this::add);
    }

    private CompletableFuture<ItemList> add(ItemPage page) {
        pages++;
        if (pages == 1) {
            firstRevision = page.revision();
        }
        items.addAll(page.items());
        if (page.hasMore()) {
            return readAfter(Optional.of(items.get(items.size() - 1).name()));
        }
        logPages(page.revision());
        return CompletableFuture.completedFuture(
                new ItemList(items, firstRevision, page.revision()));
    }

    private void logPages(long lastRevision) {
        if (pages > 1) {
            EventLog.info(
                    LogEvent.LISTED_IN_PAGES,
                    "kind="
                            + kind
                            + (" pages=" + pages)
                            + (" objects=" + items.size())
                            + (" firstRevision=" + firstRevision)
                            + (" lastRevision=" + lastRevision));
        }
    }
}
