package org.bronzelug.router.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * This VM's copy of one kind's objects, filled from the platform or from a peer, and a bounded log
 * of changes for peers that read from this VM.
 *
 * <p>Invariants: the revision never decreases, and a change never replaces an object by an older
 * revision of it. Without this, a VM that reads an older copy from a peer makes a withdrawn key
 * valid again. Each object, and the absence of each other one, is as at the mirror's revision or
 * later. After a list in several pages some are later, until the changes up to the list's last page
 * have been applied; only then the mirror is a snapshot, which peers may read. No object's revision
 * is later than what it was read with: without this, each later change of an object whose revision
 * is too large seems to be older, and the object stays as it is. Confined to the control thread.
 */
public final class ObjectMirror {
    private static final byte[] NO_CONTENT = new byte[0];

    private final Map<String, StoredItem> items = new HashMap<>();
    private final ChangeLog changeLog = new ChangeLog();
    private long revision;
    private long lastReadRevision;
    private long firstListRevision;

    /**
     * Replaces all objects by a list, except those with a later revision than the list; ignores a
     * list that is older than the known revision.
     *
     * @return whether any object has changed, or peers can read the mirror again
     */
    public boolean replaceAll(ItemList list) {
        if (list.revision() < revision) {
            return false;
        }
        boolean wasSnapshot = isSnapshot();
        long newLastReadRevision = list.lastRevision();
        Map<String, StoredItem> replaced = new HashMap<>();
        for (StoredItem item : list.items()) {
            replaced.put(item.name(), item.atMost(list.lastRevision()));
        }
        for (StoredItem known : items.values()) {
            if (known.revision() > list.revision()) {
                replaced.merge(known.name(), known, StoredItem::later);
                newLastReadRevision = Math.max(newLastReadRevision, known.revision());
            }
        }
        Set<String> changed = changedNames(replaced);
        items.clear();
        items.putAll(replaced);
        if (isKnown()) {
            changeLog.addGap(revision, list.lastRevision());
        } else {
            firstListRevision = list.revision();
            changeLog.start(list.lastRevision());
        }
        revision = list.revision();
        lastReadRevision = newLastReadRevision;
        changed.forEach(name -> changeLog.add(name, list.lastRevision()));
        return !changed.isEmpty() || !wasSnapshot && isSnapshot();
    }

    /**
     * Applies changes; ignores those up to a revision that is older than the known one.
     *
     * @return whether any object has changed, or peers can read the mirror again
     */
    public boolean apply(ItemChanges changes) {
        if (changes.revision() < revision) {
            return false;
        }
        boolean wasSnapshot = isSnapshot();
        revision = changes.revision();
        boolean changed = false;
        for (ItemChanges.ItemChange change : changes.changes()) {
            // A peer may know an object that was created and removed without this VM's knowledge.
            if (apply(change) || change.removed()) {
                changed = true;
                changeLog.add(change.item().name(), revision);
            }
        }
        return changed || !wasSnapshot && isSnapshot();
    }

    /**
     * Applies changes of a peer, which are known by their outcome only: an object that was created
     * and removed between both revisions is not among them.
     *
     * @return whether any object has changed, or peers can read the mirror again
     */
    public boolean applyOutcome(ItemChanges changes) {
        if (changes.revision() > revision) {
            changeLog.addGap(revision, changes.revision());
        }
        return apply(changes);
    }

    /**
     * Returns the changes after a revision; empty if they are not known, so that all objects must
     * be sent.
     */
    public Optional<ItemChanges> changesSince(long sinceRevision) {
        if (!isKnown()) {
            return Optional.empty();
        }
        return changeLog.namesAfter(sinceRevision).map(this::changesOf);
    }

    private ItemChanges changesOf(Set<String> names) {
        List<ItemChanges.ItemChange> changes = new ArrayList<>();
        for (String name : names) {
            StoredItem item = items.get(name);
            boolean removed = item == null;
            changes.add(
                    new ItemChanges.ItemChange(
                            removed ? new StoredItem(name, revision, NO_CONTENT) : item, removed));
        }
        return new ItemChanges(changes, revision);
    }

    private boolean apply(ItemChanges.ItemChange change) {
        StoredItem known = items.get(change.item().name());
        if (change.removed()) {
            // An object with a later revision was created again after this removal.
            boolean current = known != null && known.revision() <= revision;
            return current && items.remove(change.item().name()) != null;
        }
        StoredItem changed = change.item().atMost(revision);
        if (known != null && known.revision() >= changed.revision()) {
            return false;
        }
        items.put(changed.name(), changed);
        return true;
    }

    private Set<String> changedNames(Map<String, StoredItem> listed) {
        Set<String> changed = new HashSet<>(items.keySet());
        changed.removeAll(listed.keySet());
        for (StoredItem item : listed.values()) {
            StoredItem known = items.get(item.name());
            if (known == null || known.revision() != item.revision()) {
                changed.add(item.name());
            }
        }
        return changed;
    }

    public Collection<StoredItem> items() {
        return items.values();
    }

    public long revision() {
        return revision;
    }

    /**
     * Returns whether an object's revision is later than that of the first list, so that the object
     * changed while this VM was watching the kind. An earlier change may be of any age.
     */
    public boolean isChangedSinceFirstList(long itemRevision) {
        return firstListRevision > 0 && itemRevision > firstListRevision;
    }

    /** Returns whether all objects are as at the mirror's revision. */
    public boolean isSnapshot() {
        return isKnown() && revision >= lastReadRevision;
    }

    /**
     * Returns the revision after which a peer's changes are enough to follow that peer; 0, for all
     * objects, while this mirror is no snapshot. Without this, an object that was removed before
     * the peer knew it remains here.
     */
    public long snapshotRevision() {
        return isSnapshot() ? revision : 0;
    }

    /** Returns whether a list has been applied. */
    public boolean isKnown() {
        return revision > 0;
    }
}
