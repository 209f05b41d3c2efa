package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.store.ItemChanges;
import org.bronzelug.router.store.ItemList;
import org.bronzelug.router.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the assumed age of weights that were published before the VM started, and of weights
 * published later.
 */
class ControlStateTest {
    private static final long INITIAL_AGE_NANOS = TimeUnit.SECONDS.toNanos(1_000);
    private static final String WEIGHTS = OneModelDecoder.WEIGHTS;

    private final ControlState state =
            new ControlState(new OneModelDecoder(), INITIAL_AGE_NANOS, 1_200);

    /**
     * Guards against rejected requests after a model's first new weights are published while a VM
     * runs: if the VM takes them for published long ago, no runner is new enough for a request
     * until the first of them has loaded the weights.
     */
    @ParameterizedTest
    @CsvSource({
        "published before the start, 7, 0, true",
        "published while the VM runs, 0, 9, false",
        "an older one before the start, 7, 9, false",
    })
    void onlyWeightsPublishedBeforeTheStartGetTheInitialAge(
            String name, long listedRevision, long changedRevision, boolean expected) {
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
        long since = state.weights().get("m").replacedSinceNanos(newest - 1).orElseThrow();
        boolean hasInitialAge = System.nanoTime() - since >= INITIAL_AGE_NANOS;
        assertThat(hasInitialAge).isEqualTo(expected);
    }

    private static StoredItem weights(long revision) {
        return new StoredItem("m", revision, new byte[0]);
    }

    /**
     * Guards against requests that begin on replaced weights for longer than allowed: a VM learns
     * of new weights seconds after they were published, as it was suspended or its watch was lost.
     */
    @ParameterizedTest
    @CsvSource({
        "the peer has known it for longer, 9, 9, 5000, 5000",
        "the peer learned of it later, 9, 9, -5000, 0",
        "only the peer knows it, 0, 9, 5000, 5000",
        "the peer knows an earlier one as well, 9, 8, 5000, 5000"
    })
    void theAgeOfAVersionIsTheLongestThatAnyVmKnows(
            String name, long ownVersion, long peerVersion, long peerMillis, long expectedMillis) {
        long publishedNanos = System.nanoTime();
        state.mirror(WEIGHTS).replaceAll(new ItemList(List.of(weights(1)), 1));
        state.onChange(WEIGHTS);
        if (ownVersion > 0) {
            ItemChanges.ItemChange change = new ItemChanges.ItemChange(weights(ownVersion), false);
            state.mirror(WEIGHTS).apply(new ItemChanges(List.of(change), ownVersion));
            state.onChange(WEIGHTS);
        }
        state.recordPeerAge(
                "peer",
                "m",
                peerVersion,
                TimeUnit.MILLISECONDS.toNanos(peerMillis),
                publishedNanos);
        long since = state.weights().get("m").replacedSinceNanos(1).orElseThrow();
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
        assertThat(ageMillis).isIn(Range.closed(expectedMillis, expectedMillis + 1_000));
        assertThat(state.weights().get("m").version()).isEqualTo(Math.max(ownVersion, peerVersion));
    }

    /**
     * Guards against rejected requests of the whole fleet after a VM restarts beside a publication:
     * it tells the others the age that it assumes, and they take it for one that was seen.
     */
    @Test
    void anAssumedAgeIsNotReportedAndGivesWayToAPeersAge() {
        state.mirror(WEIGHTS).replaceAll(new ItemList(List.of(weights(7)), 8));
        state.onChange(WEIGHTS);
        assertThat(state.publishedWithin(Long.MAX_VALUE, System.nanoTime())).isEmpty();
        long nowNanos = System.nanoTime();
        long ageNanos = TimeUnit.SECONDS.toNanos(1);
        state.recordPeerAge("peer", "m", 7, ageNanos, nowNanos);
        assertThat(state.weights().get("m").replacedSinceNanos(6).orElseThrow())
                .isEqualTo(nowNanos - ageNanos);
        assertThat(state.publishedWithin(Long.MAX_VALUE, nowNanos)).hasSize(1);
    }
}
