package org.bronzelug.router.store;

import java.util.List;

/**
 * The changes of a kind's objects after a revision, in order.
 *
 * @param changes the changes
 * @param revision revision from which the next watch continues
 */
public record ItemChanges(List<ItemChange> changes, long revision) {
    public ItemChanges {
        changes = List.copyOf(changes);
    }

    /**
     * The change of one object.
     *
     * @param item the object in its current state, or in its last one if it was removed
     * @param removed whether the object was removed
     */
    public record ItemChange(StoredItem item, boolean removed) {}
}
