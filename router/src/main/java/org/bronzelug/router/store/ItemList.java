package org.bronzelug.router.store;

import java.util.List;

/**
 * All objects of a kind.
 *
 * @param items the objects
 * @param revision the platform's revision at the time of the list; a watch continues from it
 */
public record ItemList(List<StoredItem> items, long revision) {
    public ItemList {
        items = List.copyOf(items);
    }
}
