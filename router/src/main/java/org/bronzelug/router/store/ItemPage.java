package org.bronzelug.router.store;

import java.util.List;

/**
 * One page of a list of a kind's objects. Immutable.
 *
 * @param items objects in the platform's order of names
 * @param hasMore whether objects follow, after the last name of this page
 * @param revision the platform's revision when it read this page
 */
public record ItemPage(List<StoredItem> items, boolean hasMore, long revision) {
    public ItemPage {
        items = List.copyOf(items);
    }
}
