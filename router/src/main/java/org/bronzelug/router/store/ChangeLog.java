package org.bronzelug.router.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The names of a mirror's objects that have changed, bounded, for peers that know the objects as at
 * some revision.
 *
 * <p>Invariant: a peer to which names are returned lacks no change of any other object. Lists, and
 * changes read from another VM, show only the outcome since the mirror's former revision: an object
 * that was created and removed since then is not among them, but a peer whose revision lies in
 * between may know it. Such a peer gets no names. Confined to the control thread.
 */
final class ChangeLog {
    /** Covers some minutes of a large fleet's changes. */
    private static final int MAXIMUM_CHANGES = 2_048;

    private static final int MAXIMUM_GAPS = 64;

    private final Deque<Change> changes = new ArrayDeque<>();
    private final Deque<Gap> gaps = new ArrayDeque<>();
    private long startRevision;

    /** Begins the log: peers at an earlier revision get no names. */
    void start(long revision) {
        startRevision = revision;
    }

    /**
     * Records a change of an object.
     *
     * @param revision revision at which the change was read; peers at an earlier one may lack it
     */
    void add(String name, long revision) {
        changes.addLast(new Change(revision, name));
        if (changes.size() > MAXIMUM_CHANGES) {
            startRevision = Math.max(startRevision, changes.pollFirst().revision);
        }
    }

    /** Records that changes between two revisions are known by their outcome only. */
    void addGap(long from, long to) {
        if (to - from <= 1) {
            return;
        }
        gaps.addLast(new Gap(from, to));
        if (gaps.size() > MAXIMUM_GAPS) {
            startRevision = Math.max(startRevision, gaps.pollFirst().to);
        }
    }

    /** Returns the objects that may have changed after a revision; empty if that is not known. */
    Optional<Set<String>> namesAfter(long revision) {
        boolean inGap = gaps.stream().anyMatch(gap -> gap.from < revision && revision < gap.to);
        if (revision < startRevision || inGap) {
            return Optional.empty();
        }
        Set<String> names = new LinkedHashSet<>();
        for (Change change : changes) {
            if (change.revision > revision) {
                names.add(change.name);
            }
        }
        return Optional.of(names);
    }

    private record Change(long revision, String name) {}

    private record Gap(long from, long to) {}
}
