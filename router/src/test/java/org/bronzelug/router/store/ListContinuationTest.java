package org.bronzelug.router.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a VM that reads the same page of a list for ever, and never learns what the list
 * contains.
 */
class ListContinuationTest {
    private static final int MOST_PAGES = 100;

    /**
     * @param names of the objects on every page; an empty one is an object without a name
     */
    @ParameterizedTest
    @ValueSource(strings = {"", ",", "a,b", "a,"})
    void listThatDoesNotAdvanceFails(String names) {
        List<StoredItem> items = new ArrayList<>();
        if (!names.isEmpty()) {
            for (String name : names.split(",", -1)) {
                items.add(new StoredItem(name, 1, new byte[0]));
            }
        }
        ItemPage page = new ItemPage(items, true, 1);
        PageStore store = new PageStore(List.of(page));
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> store.list("kind").get());
        assertThat(failure).hasCauseThat().isInstanceOf(StoreException.class);
        assertThat(store.continuations.size()).isAtMost(2);
    }

    @Test
    void listContinuesAfterTheLastNameAndTakesTheLaterStateOfANameOnTwoPages() throws Exception {
        PageStore store =
                new PageStore(
                        List.of(
                                new ItemPage(
                                        List.of(item("a", 1), item("b", 2), item("", 3)), true, 5),
                                new ItemPage(List.of(item("b", 7), item("c", 4)), false, 8)));
        ItemList list = store.list("kind").get();
        assertThat(store.continuations)
                .containsExactly(Optional.empty(), Optional.of("b"))
                .inOrder();
        assertThat(list.items().stream().map(StoredItem::name)).containsExactly("a", "b", "c");
        assertThat(list.items().stream().map(StoredItem::revision)).containsExactly(1L, 7L, 4L);
        assertThat(list.revision()).isEqualTo(5);
        assertThat(list.lastRevision()).isEqualTo(8);
    }

    private static StoredItem item(String name, long revision) {
        return new StoredItem(name, revision, new byte[0]);
    }

    /** Returns the given pages in order, the last one again and again. */
    private static final class PageStore implements ObjectStore {
        private final List<ItemPage> pages;
        private final List<Optional<String>> continuations = new ArrayList<>();

        private PageStore(List<ItemPage> pages) {
            this.pages = pages;
        }

        @Override
        public CompletableFuture<ItemPage> page(String kind, Optional<String> after) {
            int index = Math.min(continuations.size(), pages.size() - 1);
            continuations.add(after);
            if (continuations.size() > MOST_PAGES) {
                throw new AssertionError("the list is read for ever");
            }
            return CompletableFuture.completedFuture(pages.get(index));
        }

        @Override
        public CompletableFuture<ItemChanges> watch(String kind, long revision) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<ItemChanges> changes(String kind, long revision) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<StoredItem> read(String kind, String name) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<StoredItem> create(String kind, String name, byte[] content) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<StoredItem> replace(String kind, StoredItem item) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<Void> remove(String kind, StoredItem item) {
            throw new UnsupportedOperationException("lists only");
        }

        @Override
        public CompletableFuture<StoredItem> writeStatus(
                String kind, String name, long revision, byte[] status) {
            throw new UnsupportedOperationException("lists only");
        }
    }
}
