package org.bronzelug.router.store;

import java.util.List;

/**
 * All objects of a kind. A list that was read in several pages is not a snapshot: the platform may
 * change between two pages.
 *
 * <p>Invariant: each item, and the absence of each other object, was read at a revision from {@code
 * revision} to {@code lastRevision}, so a watch from {@code revision} returns every later change.
 * Without this, an endpoint that begins to drain between two pages receives requests until it
 * exits. Immutable.
 *
 * @param items the objects, each name once
 * @param revision the earliest revision at which any of them was read; a watch continues from it
 * @param lastRevision the latest revision at which any of them was read
 */
public record ItemList(List<StoredItem> items, long revision, long lastRevision) {
    public ItemList {
        items = List.copyOf(items);
    }

    /** A list that was read at one revision. */
    public ItemList(List<StoredItem> items, long revision) {
        this(items, revision, revision);
    }
}
