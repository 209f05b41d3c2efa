package org.bronzelug.router.store;

import java.util.List;

/**
 * What has changed since a revision, in order.
 *
 * @param changes the changes
 * @param revision from which the next watch goes on
 */
public record ItemChanges(List<ItemChange> changes, long revision) {
    public ItemChanges {
        changes = List.copyOf(changes);
    }

    /**
     * One change.
     *
     * @param item the object, as it is now or was last
     * @param removed whether it is gone
     */
    public record ItemChange(StoredItem item, boolean removed) {}
}
