package org.bronzelug.router.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzelug.router.store.ItemChanges.ItemChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A withdrawn key works again: a VM that the platform turns away reads an older copy from a peer
 * after it had the newer one.
 */
class ObjectMirrorTest {
    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    @ParameterizedTest
    @CsvSource({"9, false, 10", "10, false, 10", "11, true, 11"})
    void anOlderListChangesNothing(long revision, boolean changed, long expected) {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("main", 10)), 10));
        boolean taken = mirror.replaceAll(new ItemList(List.of(item("main", revision)), revision));
        assertThat(taken).isEqualTo(changed);
        assertThat(mirror.items().iterator().next().revision()).isEqualTo(expected);
    }

    @Test
    void anOlderChangeOfAnObjectIsIgnored() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("main", 10)), 10));
        boolean changed =
                mirror.apply(new ItemChanges(List.of(new ItemChange(item("main", 8), false)), 12));
        assertThat(changed).isFalse();
        assertThat(mirror.revision()).isEqualTo(12);
    }

    @Test
    void aRemovedObjectIsGone() {
        ObjectMirror mirror = new ObjectMirror();
        mirror.replaceAll(new ItemList(List.of(item("a", 1), item("b", 2)), 2));
        mirror.apply(new ItemChanges(List.of(new ItemChange(item("a", 3), true)), 3));
        assertThat(mirror.items()).hasSize(1);
    }
}
