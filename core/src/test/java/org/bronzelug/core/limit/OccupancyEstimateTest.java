package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What counts as a sign that an endpoint may be full. */
class OccupancyEstimateTest {
    private static final int SLOTS = 6;
    private static final long NOW = 10 * OccupancyEstimate.VALID_NANOS;

    @ParameterizedTest
    @CsvSource({
        "nothing is known, 0, 0, -1, 0, false",
        "half of the slots are taken, 0, 0, -1, 3, true",
        "one less, 0, 0, -1, 2, false",
        "half of the slots reported as running, 3, 0, 1, 0, true",
        "a request waits, 1, 1, 1, 0, true",
        "it waited long ago, 1, 1, 1001, 0, false",
    })
    void loadAndRequestsInFlightCount(
            String name, int running, int waiting, long ageMillis, int inFlight, boolean full) {
        OccupancyEstimate estimate = new OccupancyEstimate();
        if (ageMillis >= 0) {
            estimate.recordLoad(running, waiting, NOW - ageMillis * 1_000_000);
        }
        assertThat(estimate.mayBeFull(inFlight, SLOTS, NOW)).isEqualTo(full);
    }

    @ParameterizedTest
    @CsvSource({"999, true", "1000, false"})
    void aRejectionCountsForASecond(long ageMillis, boolean full) {
        OccupancyEstimate estimate = new OccupancyEstimate();
        estimate.recordRejection(NOW - ageMillis * 1_000_000);
        assertThat(estimate.mayBeFull(0, SLOTS, NOW)).isEqualTo(full);
    }
}
