package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bronzelug.core.routing.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against rejecting every request although all endpoints are alive: during an outage of the
 * platform the endpoints' entries expire, and the first list after it is empty.
 */
class EndpointListTest {
    private static final long MILLI = 1_000_000L;
    private static final long REPORT_MILLIS = 1_200;
    private static final long OUTAGE_END = 10_000 * MILLI;

    private static EndpointEntry entry(
            String id, boolean draining, long startMillis, long version) {
        return new EndpointEntry(
                id,
                "pool",
                "10.0.0.1:80",
                "zone",
                "v1",
                6,
                draining,
                startMillis,
                Map.of("model", version));
    }

    private static Map<String, EndpointEntry> listed(EndpointEntry entry) {
        return Map.of(entry.id(), entry);
    }

    @ParameterizedTest
    @CsvSource({
        "expired in the outage, false, 500, 1000, true",
        "still missing after two seconds, false, 500, 2000, false",
        "was draining, true, 500, 600, false",
        "removed long after the outage, false, 5000, 5000, false",
    })
    void entryThatExpiredInAnOutageIsKeptForTwoSeconds(
            String name,
            boolean draining,
            long emptyListMillis,
            long checkMillis,
            boolean expected) {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", draining, 1, 1)), 0);
        list.recordPlatformRecovery(0, OUTAGE_END);
        list.update(Map.of(), OUTAGE_END + emptyListMillis * MILLI);
        list.expire(OUTAGE_END + checkMillis * MILLI);
        assertThat(list.entries().containsKey("a")).isEqualTo(expected);
    }

    /**
     * Guards against requests to an endpoint that has left for longer than it serves them: only an
     * outage in which entries can expire extends its use beyond the return of the platform.
     */
    @ParameterizedTest
    @CsvSource({
        "a cut watch: used at first, 60, 1739, true",
        "a cut watch: not until two seconds after it, 60, 1740, false",
        "a shorter outage than entries need to expire, 2399, 0, false",
        "an outage, 2400, 1999, true",
        "after an outage, 2400, 2000, false",
    })
    void anEntryThatIsMissingAfterALossOfContactIsUsedForABoundedTime(
            String name, long lostMillis, long checkMillis, boolean expected) {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 1, 1)), 0);
        list.recordContactRegained(OUTAGE_END - lostMillis * MILLI, OUTAGE_END);
        list.update(Map.of(), OUTAGE_END);
        list.expire(OUTAGE_END + checkMillis * MILLI);
        assertThat(list.entries().containsKey("a")).isEqualTo(expected);
    }

    /**
     * Guards against a second loss of contact that extends the use of an endpoint that has left.
     */
    @Test
    void aMissingEntryIsNotKeptForLongerByAnotherLossOfContact() {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 1, 1)), 0);
        list.recordContactRegained(OUTAGE_END - 60 * MILLI, OUTAGE_END);
        list.update(Map.of(), OUTAGE_END);
        list.recordContactRegained(OUTAGE_END + 900 * MILLI, OUTAGE_END + 1_000 * MILLI);
        list.update(Map.of(), OUTAGE_END + 1_000 * MILLI);
        assertThat(list.nextExpiryNanos().getAsLong()).isEqualTo(OUTAGE_END + 1_740 * MILLI);
        list.expire(OUTAGE_END + 1_740 * MILLI);
        assertThat(list.entries()).isEmpty();
    }

    /**
     * Guards against a list of endpoints that can't be read any more: a caller, a runner's report
     * or a peer's state update has named a model whose name is too long for an entry.
     */
    @Test
    void aModelWithALongNameIsNotRecorded() {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 1, 1)), 0);
        assertThat(list.recordWeights("a", 1, "n".repeat(300), 2)).isFalse();
        assertThat(list.recordWeights("a", 1, "model", 2)).isTrue();
        assertThat(list.entries().get("a").weights()).containsExactly("model", 2L);
    }

    /** Guards against memory that grows with each model that callers name. */
    @Test
    void fewModelsAreRecordedThatTheEntryDoesNotName() {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 1, 1)), 0);
        for (int number = 0; number < 1_000; number++) {
            list.recordWeights("a", 1, "other-" + number, 2);
        }
        assertThat(list.recordWeights("a", 1, "model", 2)).isTrue();
        assertThat(list.recordWeights("a", 1, "other-0", 3)).isTrue();
        assertThat(list.observedWeights().get("a").size()).isAtMost(65);
    }

    @ParameterizedTest
    @CsvSource({"1, 3", "2, 2"})
    void observedWeightsAreDroppedWhenTheEndpointRestarts(long startMillis, long expected) {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 1, 2)), 0);
        list.recordWeights("a", 1, "model", 3);
        list.update(listed(entry("a", false, startMillis, 2)), 1);
        assertThat(list.entries().get("a").weights().get("model")).isEqualTo(expected);
    }

    @Test
    void weightsObservedBeforeARestartAreIgnored() {
        EndpointList list = new EndpointList(REPORT_MILLIS);
        list.update(listed(entry("a", false, 2, 2)), 0);
        assertThat(list.recordWeights("a", 1, "model", 9)).isFalse();
    }
}
