package org.bronzelug.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against placement by the peers' old reports although the endpoint has just stated its
 * load, and against the endpoint's old statement being used for longer than the peers' reports.
 */
class ReportedLoadTest {
    private static final long MILLI = 1_000_000L;

    @ParameterizedTest
    @CsvSource({
        "8, 2, 3, 449, 7, true",
        "8, 0, 8, 0, 0, true",
        "1, 0, 3, 0, 0, true",
        "8, 2, 3, 450, 7, false",
    })
    void theEndpointsReportCountsUntilThePeersReportsAreAsRecent(
            int running, int waiting, int own, long ageMillis, int others, boolean fresher) {
        ReportedLoad load = new ReportedLoad();
        assertThat(load.isFresher(450 * MILLI, 0)).isFalse();
        load.record(running, waiting, own, 0);
        assertThat(load.otherRequests()).isEqualTo(others);
        assertThat(load.isFresher(450 * MILLI, ageMillis * MILLI)).isEqualTo(fresher);
    }
}
