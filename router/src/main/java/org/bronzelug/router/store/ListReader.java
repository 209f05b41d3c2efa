package org.bronzelug.router.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads the lists of one kind. If a page can't be read, the next read continues there: a list of
 * many pages would hardly ever end if it began anew whenever the platform rejects a call or loses a
 * response. Confined to the thread on which the store's futures complete.
 */
public final class ListReader {
    /** A list that began longer ago is read anew, so that its first pages are not too old. */
    private static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ObjectStore store;
    private final String kind;
    private Optional<PagedList> unfinished = Optional.empty();
    private long startNanos;

    public ListReader(ObjectStore store, String kind) {
        this.store = store;
        this.kind = kind;
    }

    /** Abandons an unfinished list: the next read begins at the first page. */
    public void reset() {
        unfinished = Optional.empty();
    }

    /**
     * Reads a list, or the rest of an unfinished one.
     *
     * @param nowNanos the time now, by this VM's monotonic clock
     */
    public CompletableFuture<ItemList> read(long nowNanos) {
        if (unfinished.isEmpty() || nowNanos - startNanos > MAXIMUM_AGE_NANOS) {
            unfinished = Optional.of(new PagedList(store, kind));
            startNanos = nowNanos;
        }
        PagedList list = unfinished.get();
        return list.read()
                .whenComplete(
                        (items, failure) -> {
                            boolean current = unfinished.filter(list::equals).isPresent();
                            if (current && (failure == null || !list.isContinuable())) {
                                reset();
                            }
                        });
    }
}
