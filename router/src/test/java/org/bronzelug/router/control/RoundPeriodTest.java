package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against control traffic of a large fleet that takes processor time from requests. */
class RoundPeriodTest {
    @ParameterizedTest
    @CsvSource({
        "7, 0, 150",
        "7, 100, 150",
        "13, 100, 150",
        "14, 0, 300",
        "95, 4, 300",
        "95, 5, 600",
        "350, 5, 600",
    })
    void onlyAnIdleVmOfALargeFleetHasTheLongestRounds(int fleetSize, int quietRounds, int millis) {
        RoundPeriod period = new RoundPeriod();
        for (int round = 0; round < quietRounds; round++) {
            period.record(true);
        }
        assertThat(period.millis(fleetSize)).isEqualTo(millis);
        period.record(false);
        assertThat(period.millis(fleetSize)).isAtMost(300);
    }
}
