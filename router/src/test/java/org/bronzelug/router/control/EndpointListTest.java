package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bronzelug.core.routing.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every request is refused though all endpoints live: the platform was away, the endpoints' entries
 * lapsed meanwhile, and its first list after its return is empty.
 */
class EndpointListTest {
    private static final long MILLI = 1_000_000L;
    private static final long BACK = 10_000 * MILLI;

    private static EndpointEntry entry(String id, boolean draining, long born, long version) {
        return new EndpointEntry(
                id, "pool", "10.0.0.1:80", "zone", 6, draining, born, Map.of("model", version));
    }

    private static Map<String, EndpointEntry> listed(EndpointEntry entry) {
        return Map.of(entry.id(), entry);
    }

    @ParameterizedTest
    @CsvSource({
        "lapsed in the outage, false, 500, 1000, true",
        "still missing after two seconds, false, 500, 2000, false",
        "was leaving, true, 500, 600, false",
        "left long after the return, false, 5000, 5000, false",
    })
    void keepsEntriesThatLapsedInAnOutage(
            String name, boolean draining, long listMillis, long lookMillis, boolean kept) {
        EndpointList list = new EndpointList();
        list.update(listed(entry("a", draining, 1, 1)), 0);
        list.recordPlatformRecovery(0, BACK);
        list.update(Map.of(), BACK + listMillis * MILLI);
        list.expire(BACK + lookMillis * MILLI);
        assertThat(list.entries().containsKey("a")).isEqualTo(kept);
    }

    @ParameterizedTest
    @CsvSource({"1, 3", "2, 2"})
    void weightsSeenEarlyHoldForThatStartOnly(long bornNow, long expected) {
        EndpointList list = new EndpointList();
        list.update(listed(entry("a", false, 1, 2)), 0);
        list.recordWeights("a", 1, "model", 3);
        list.update(listed(entry("a", false, bornNow, 2)), 1);
        assertThat(list.entries().get("a").weights().get("model")).isEqualTo(expected);
    }

    @Test
    void weightsOfAnotherStartAreNotTaken() {
        EndpointList list = new EndpointList();
        list.update(listed(entry("a", false, 2, 2)), 0);
        assertThat(list.recordWeights("a", 1, "model", 9)).isFalse();
    }
}
