package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an object that can't be decoded and is logged at each change of another one. */
class DecodedItemsTest {
    private final List<String> decodedNames = new ArrayList<>();
    private final DecodedItems<String> items = new DecodedItems<>(this::decode);

    private Optional<String> decode(StoredItem item) {
        decodedNames.add(item.name() + item.revision());
        return item.name().equals("odd")
                ? Optional.empty()
                : Optional.of(item.name() + item.revision());
    }

    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    @Test
    void eachRevisionIsDecodedOnce() {
        assertThat(items.update(List.of(item("a", 1), item("odd", 2)))).containsExactly("a1");
        assertThat(items.update(List.of(item("a", 3), item("odd", 2)))).containsExactly("a3");
        assertThat(items.update(List.of(item("odd", 2), item("a", 3)))).containsExactly("a3");
        assertThat(decodedNames).containsExactly("a1", "odd2", "a3").inOrder();
    }

    @Test
    void anObjectThatIsCreatedAgainIsDecodedAgain() {
        items.update(List.of(item("a", 1)));
        assertThat(items.update(List.of())).isEmpty();
        assertThat(items.update(List.of(item("a", 1)))).containsExactly("a1");
        assertThat(decodedNames).containsExactly("a1", "a1");
    }

    /** An entry that is overwritten by content that can't be read names no runner any more. */
    @Test
    void theLastReadableRevisionIsNotKept() {
        DecodedItems<Long> readable =
                new DecodedItems<>(
                        item ->
                                item.revision() == 2
                                        ? Optional.empty()
                                        : Optional.of(item.revision()));
        assertThat(readable.update(List.of(item("a", 1)))).containsExactly(1L);
        assertThat(readable.update(List.of(item("a", 2)))).isEmpty();
        assertThat(readable.update(List.of(item("a", 3)))).containsExactly(3L);
    }

    /** If an exception ended the update, no other object of the kind could change any more. */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class})
    void anObjectAtWhichTheDecoderFailsIsLeftOut(Class<? extends Throwable> failure) {
        List<String> decodedItems = new ArrayList<>();
        DecodedItems<String> failing =
                new DecodedItems<>(
                        item -> {
                            decodedItems.add(item.name() + item.revision());
                            if (item.revision() == 2) {
                                fail(failure);
                            }
                            return Optional.of(item.name() + item.revision());
                        });
        assertThat(failing.update(List.of(item("a", 1), item("b", 2), item("c", 3))))
                .containsExactly("a1", "c3");
        assertThat(failing.update(List.of(item("a", 4), item("b", 2), item("c", 3))))
                .containsExactly("a4", "c3");
        assertThat(failing.update(List.of(item("a", 4), item("b", 5)))).containsExactly("a4", "b5");
        assertThat(decodedItems).containsExactly("a1", "b2", "c3", "a4", "b5").inOrder();
    }

    private static void fail(Class<? extends Throwable> failure) {
        if (failure == StackOverflowError.class) {
            throw new StackOverflowError("nested too deeply");
        }
        throw new IllegalStateException("not expected in any object");
    }
}
