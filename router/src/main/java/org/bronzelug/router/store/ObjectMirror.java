package org.bronzelug.router.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * One kind's objects as this VM knows them, from the platform or from a peer.
 *
 * <p>Invariant: the revision never falls, and no object goes back to an older one. The failure this
 * prevents: a VM reads an older copy from a peer and brings a withdrawn key back. Confined to the
 * control thread.
 */
public final class ObjectMirror {
    private final Map<String, StoredItem> items = new HashMap<>();
    private long revision;
    private long firstRevision;

    /** Takes in a whole list; an older one than what is known is ignored. */
    public boolean replaceAll(ItemList list) {
        if (list.revision() < revision) {
            return false;
        }
        Map<String, StoredItem> newer = new HashMap<>();
        for (StoredItem item : list.items()) {
            newer.put(item.name(), item);
        }
        boolean changed = !sameRevisions(newer);
        items.clear();
        items.putAll(newer);
        revision = list.revision();
        if (firstRevision == 0) {
            firstRevision = revision;
        }
        return changed;
    }

    /** Takes in changes. */
    public boolean apply(ItemChanges changes) {
        boolean changed = false;
        for (ItemChanges.ItemChange change : changes.changes()) {
            changed |= apply(change);
        }
        revision = Math.max(revision, changes.revision());
        return changed;
    }

    private boolean apply(ItemChanges.ItemChange change) {
        StoredItem known = items.get(change.item().name());
        if (change.removed()) {
            return items.remove(change.item().name()) != null;
        }
        if (known != null && known.revision() >= change.item().revision()) {
            return false;
        }
        items.put(change.item().name(), change.item());
        return true;
    }

    private boolean sameRevisions(Map<String, StoredItem> newer) {
        if (newer.size() != items.size()) {
            return false;
        }
        for (StoredItem item : newer.values()) {
            StoredItem known = items.get(item.name());
            if (known == null || known.revision() != item.revision()) {
                return false;
            }
        }
        return true;
    }

    public Collection<StoredItem> items() {
        return items.values();
    }

    public long revision() {
        return revision;
    }

    /**
     * Whether an object of this revision was changed after this VM began to watch the kind, so that
     * its change is as old as this VM's knowledge of it; otherwise it may be of any age.
     */
    public boolean isSeenHappening(long itemRevision) {
        return firstRevision > 0 && itemRevision > firstRevision;
    }

    /** Whether a list has ever been taken in. */
    public boolean isKnown() {
        return revision > 0;
    }
}
