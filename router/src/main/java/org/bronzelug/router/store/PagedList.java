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
 * had; without this, a page that the platform repeats is read for ever. Confined to the thread on
 * which the store's futures complete.
 */
final class PagedList {
    private final ObjectStore store;
    private final String kind;
    private final Map<String, StoredItem> items = new LinkedHashMap<>();
    private Optional<String> lastName = Optional.empty();
    private boolean continuable = true;
    private int pages;
    private long firstRevision;

    PagedList(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    /**
     * Reads the pages that have not been read. The future fails if one of them can't be read; a
     * later call continues there.
     */
    CompletableFuture<ItemList> read() {
        return store.page(kind, lastName).thenCompose(this::add);
    }

    /** Returns whether another page can be asked for. */
    boolean isContinuable() {
        return continuable;
    }

    private CompletableFuture<ItemList> add(ItemPage page) {
        pages++;
        if (pages == 1) {
            firstRevision = page.revision();
        }
        int knownNames = items.size();
        for (StoredItem item : page.items()) {
            if (!item.name().isEmpty()) {
                items.merge(item.name(), item, StoredItem::later);
                lastName = Optional.of(item.name());
            }
        }
        if (page.hasMore()) {
            return items.size() > knownNames ? read() : notAdvancing();
        }
        logPages(page.revision());
        return CompletableFuture.completedFuture(
                new ItemList(List.copyOf(items.values()), firstRevision, page.revision()));
    }

    private CompletableFuture<ItemList> notAdvancing() {
        continuable = false;
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
