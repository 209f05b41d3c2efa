package org.bronzelug.router.store;

import java.util.List;

/**
 * All objects of a kind.
 *
 * @param items the objects
 * @param revision of the platform when it answered: a watch goes on from there
 */
public record ItemList(List<StoredItem> items, long revision) {
    public ItemList {
        items = List.copyOf(items);
    }
}
