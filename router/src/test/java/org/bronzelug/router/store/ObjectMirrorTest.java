package org.bronzelug.router.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bronzelug.router.store.ItemChanges.ItemChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a withdrawn key that becomes valid again: a VM that the platform rejects reads an
 * older copy of the objects from a peer after it had the newer one.
 */
class ObjectMirrorTest {
    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    @ParameterizedTest
    @CsvSource({"9, false, 10", "10, false, 10", "11, true, 11"})
    void olderListChangesNothing(long revision, boolean changed, long expected) {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("main", 10)), 10));
        boolean applied =
                mirror.replaceAll(new ItemList(List.of(item("main", revision)), revision));
        assertThat(applied).isEqualTo(changed);
        assertThat(mirror.items().iterator().next().revision()).isEqualTo(expected);
    }

    @Test
    void olderChangeOfAnObjectIsIgnored() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("main", 10)), 10));
        boolean changed =
                mirror.apply(new ItemChanges(List.of(new ItemChange(item("main", 8), false)), 12));
        assertThat(changed).isFalse();
        assertThat(mirror.revision()).isEqualTo(12);
    }

    @Test
    void removedObjectIsNoLongerMirrored() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("a", 1), item("b", 2)), 2));
        mirror.apply(new ItemChanges(List.of(new ItemChange(item("a", 3), true)), 3));
        assertThat(mirror.items()).hasSize(1);
    }

    /**
     * Guards against a missing change: a peer that polls this VM receives changes only, so without
     * that change it would keep using a removed endpoint or a withdrawn key, and nothing would
     * correct it.
     */
    @Property
    void peerThatAppliesChangesHasTheSameObjects(
            @ForAll @Size(max = 60) List<@IntRange(max = 15) Integer> steps) {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("n0", 1)), 1));
        ObjectMirror peer = new ObjectMirror();
        peer.replaceAll(new ItemList(List.copyOf(mirror.items()), 1));
        long revision = 1;
        for (int step : steps) {
            revision++;
            String name = "n" + step % 5;
            StoredItem changed = item(name, revision);
            switch (step / 5) {
                case 0 -> mirror.apply(changes(new ItemChange(changed, false), revision));
                case 1 -> mirror.apply(changes(new ItemChange(changed, true), revision));
                default -> {
                    ItemChanges since = mirror.changesSince(peer.revision()).orElseThrow();
                    peer.apply(since);
                    assertThat(revisions(peer)).isEqualTo(revisions(mirror));
                }
            }
        }
    }

    @Test
    void peerFromBeforeTheFirstListNeedsAllObjects() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("a", 3)), 5));
        assertThat(mirror.changesSince(4)).isEmpty();
        assertThat(mirror.changesSince(5).orElseThrow().changes()).isEmpty();
    }

    /**
     * Guards against an endpoint that stays in use at a peer after it has left: it joined and left
     * between two lists of this VM, and the peer knows it from another VM.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "2, false", "9, false", "10, true"})
    void peerBetweenTwoListsNeedsAllObjects(long peerRevision, boolean changesAreEnough) {
        ObjectMirror listed = new ObjectMirror();
        listed.replaceAll(new ItemList(List.of(item("a", 1)), 1));
        listed.replaceAll(new ItemList(List.of(item("a", 1)), 10));
        ObjectMirror copied = new ObjectMirror();
        copied.replaceAll(new ItemList(List.of(item("a", 1)), 1));
        copied.applyOutcome(new ItemChanges(List.of(), 10));
        assertThat(listed.changesSince(peerRevision).isPresent()).isEqualTo(changesAreEnough);
        assertThat(copied.changesSince(peerRevision).isPresent()).isEqualTo(changesAreEnough);
    }

    /** The same, if the watch reports only that the endpoint has left. */
    @Test
    void removalOfAnUnknownObjectReachesAPeerThatKnowsIt() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("a", 1)), 1));
        mirror.apply(changes(new ItemChange(item("b", 5), true), 8));
        assertThat(mirror.changesSince(6).orElseThrow().changes()).hasSize(1);
    }

    /**
     * Guards against a VM that reads all objects of a peer again and again: its own list was read
     * in several pages, and the peer's later revision is earlier than the last page.
     *
     * @param known revision of the object in the VM's list, which the peer lacks
     */
    @ParameterizedTest
    @CsvSource({"9, 12, true", "15, 12, false", "15, 16, true"})
    void allObjectsOfAPeerMakeASnapshotUnlessAnObjectIsLater(
            long known, long peerRevision, boolean snapshot) {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("a", known)), 10, 20));
        assertThat(mirror.isSnapshot()).isFalse();
        mirror.replaceAll(new ItemList(List.of(), peerRevision));
        assertThat(mirror.isSnapshot()).isEqualTo(snapshot);
    }

    /**
     * Guards against an endpoint that stays in use for ever: its revision is later than any that
     * the platform has reached, so each later change of it, and its removal, seems to be older.
     *
     * @param bySource how the object came: by a list, a change, or the copy of a peer
     */
    @ParameterizedTest
    @CsvSource({
        "list, 11",
        "change, 11",
        "peer, 11",
        "list, 9000000000000",
        "change, 9000000000000",
        "peer, 9000000000000"
    })
    void anObjectOfALaterRevisionThanThePlatformsIsFollowed(String bySource, long later) {
        for (boolean byList : List.of(true, false)) {
            ObjectMirror mirror = new ObjectMirror();
            mirror.replaceAll(new ItemList(List.of(item("a", 1)), 2));
            switch (bySource) {
                case "list" -> mirror.replaceAll(new ItemList(List.of(item("a", later)), 10));
                case "change" -> mirror.apply(changes(new ItemChange(item("a", later), false), 10));
                default ->
                        mirror.applyOutcome(changes(new ItemChange(item("a", later), false), 10));
            }
            assertThat(mirror.isSnapshot()).isTrue();
            assertThat(revisions(mirror)).containsExactly("a", 10L);
            mirror.apply(changes(new ItemChange(item("a", 12), false), 12));
            assertThat(revisions(mirror)).containsExactly("a", 12L);
            if (byList) {
                mirror.replaceAll(new ItemList(List.of(), 14));
            } else {
                mirror.apply(changes(new ItemChange(item("a", later), true), 14));
            }
            assertThat(mirror.items()).isEmpty();
        }
    }

    private static ItemChanges changes(ItemChange change, long revision) {
        return new ItemChanges(List.of(change), revision);
    }

    private static Map<String, Long> revisions(ObjectMirror mirror) {
        return mirror.items().stream()
                .collect(Collectors.toMap(StoredItem::name, StoredItem::revision));
    }
}
