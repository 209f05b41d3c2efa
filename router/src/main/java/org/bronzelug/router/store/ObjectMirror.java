package org.bronzelug.router.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One kind's objects as this VM knows them, from the platform or from a peer.
 *
 * <p>Invariant: the revision never falls, and no object goes back to an older one. The failure this
 * prevents: a VM reads an older copy from a peer and brings a withdrawn key back. Confined to the
 * control thread.
 */
public final class ObjectMirror {
    /** Some minutes of a large fleet's changes; a peer that lacks more gets all objects. */
    private static final int MAXIMUM_LOGGED = 2_048;

    private static final byte[] NO_CONTENT = new byte[0];

    private final Map<String, StoredItem> items = new HashMap<>();
    private final Deque<LoggedChange> log = new ArrayDeque<>();
    private long logStart;
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
        Set<String> changed = changedNames(newer);
        items.clear();
        items.putAll(newer);
        revision = list.revision();
        if (firstRevision == 0) {
            firstRevision = revision;
            logStart = revision;
        }
        changed.forEach(this::log);
        return !changed.isEmpty();
    }

    /** Takes in changes; those up to an older revision than what is known are ignored. */
    public boolean apply(ItemChanges changes) {
        if (changes.revision() < revision) {
            return false;
        }
        revision = changes.revision();
        boolean changed = false;
        for (ItemChanges.ItemChange change : changes.changes()) {
            if (apply(change)) {
                changed = true;
                log(change.item().name());
            }
        }
        return changed;
    }

    private void log(String name) {
        log.addLast(new LoggedChange(revision, name));
        if (log.size() > MAXIMUM_LOGGED) {
            logStart = log.pollFirst().revision();
        }
    }

    /**
     * What has changed since a revision; empty where that is not remembered, so that all objects
     * must be told.
     */
    public Optional<ItemChanges> changesSince(long sinceRevision) {
        if (firstRevision == 0 || sinceRevision < logStart) {
            return Optional.empty();
        }
        Set<String> names = new LinkedHashSet<>();
        for (LoggedChange change : log) {
            if (change.revision() > sinceRevision) {
                names.add(change.name());
            }
        }
        List<ItemChanges.ItemChange> changes = new ArrayList<>();
        for (String name : names) {
            StoredItem item = items.get(name);
            boolean removed = item == null;
            changes.add(
                    new ItemChanges.ItemChange(
                            removed ? new StoredItem(name, revision, NO_CONTENT) : item, removed));
        }
        return Optional.of(new ItemChanges(changes, revision));
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

    private Set<String> changedNames(Map<String, StoredItem> newer) {
        Set<String> changed = new HashSet<>(items.keySet());
        changed.removeAll(newer.keySet());
        for (StoredItem item : newer.values()) {
            StoredItem known = items.get(item.name());
            if (known == null || known.revision() != item.revision()) {
                changed.add(item.name());
            }
        }
        return changed;
    }

    /** One object changed, or went, with the kind's revision after that. */
    private record LoggedChange(long revision, String name) {}

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
    public boolean isChangedSinceFirstList(long itemRevision) {
        return firstRevision > 0 && itemRevision > firstRevision;
    }

    /** Whether a list has ever been taken in. */
    public boolean isKnown() {
        return revision > 0;
    }
}
