package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a VM believes of objects that it finds at its start, and of those that change later. */
class ControlStateTest {
    private static final long UNKNOWN_AGE_NANOS = TimeUnit.SECONDS.toNanos(1_000);
    private static final String WEIGHTS = OneModelDecoder.WEIGHTS;

    private final ControlState state = new ControlState(new OneModelDecoder(), UNKNOWN_AGE_NANOS);

    /**
     * The first new weights of a model are named while a VM runs. It takes them for named long ago,
     * so no runner is new enough for a request, and callers are refused until the first has loaded.
     */
    @ParameterizedTest
    @CsvSource({
        "found at the start,        7, 0, true",
        "named while the VM runs,   0, 9, false",
        "an older one at the start, 7, 9, false",
    })
    void onlyWeightsFoundAtTheStartAreOfUnknownAge(
            String name, long listedRevision, long changedRevision, boolean old) {
        List<StoredItem> listed =
                listedRevision == 0 ? List.of() : List.of(weights(listedRevision));
        state.mirror(WEIGHTS).replaceAll(new ItemList(listed, 8));
        state.onChange(WEIGHTS);
        if (changedRevision > 0) {
            ItemChanges.ItemChange change =
                    new ItemChanges.ItemChange(weights(changedRevision), false);
            state.mirror(WEIGHTS).apply(new ItemChanges(List.of(change), changedRevision));
            state.onChange(WEIGHTS);
        }
        long newest = Math.max(listedRevision, changedRevision);
        long since = state.weights().get("m").behindSinceNanos(newest - 1).orElseThrow();
        boolean seemsOld = System.nanoTime() - since >= UNKNOWN_AGE_NANOS;
        assertThat(seemsOld).isEqualTo(old);
    }

    private static StoredItem weights(long revision) {
        return new StoredItem("m", revision, new byte[0]);
    }
}
