package org.bronzelug.router.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Reads all pages of one list, one after the other. Each page must have a name that no earlier one
 * had; without this, a page that the platform repeats is read for ever. Used once. Confined to the
 * thread on which the store's futures complete.
 */
final class PagedList {
    private final ObjectStore store;
    private final String kind;
    private final Map<String, StoredItem> items = new LinkedHashMap<>();
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
        int knownNames = items.size();
        Optional<String> lastName = Optional.empty();
        for (StoredItem item : page.items()) {
            if (!item.name().isEmpty()) {
                items.merge(item.name(), item, StoredItem::later);
                lastName = Optional.of(item.name());
            }
        }
        if (page.hasMore()) {
            return items.size() > knownNames ? readAfter(lastName) : notAdvancing();
        }
        logPages(page.revision());
        return CompletableFuture.completedFuture(
                new ItemList(List.copyOf(items.values()), firstRevision, page.revision()));
    }

    private CompletableFuture<ItemList> notAdvancing() {
        return CompletableFuture.failedFuture(
                new StoreException(
                        StoreException.Problem.UNAVAILABLE,
                        "page " + pages + " of the list of " + kind + " has no new name"));
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
