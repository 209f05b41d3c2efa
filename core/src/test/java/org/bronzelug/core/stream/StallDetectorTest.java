package org.bronzelug.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a VM that takes a list from before a stall for one that it has watched. */
class StallDetectorTest {
    private static final long WINDOW_MILLIS = 10_000;

    private final StallDetector stalls = new StallDetector();

    private void update(long monotonicMillis, long clockMillis) {
        stalls.recordUpdate(nanos(monotonicMillis), clockMillis);
    }

    private boolean hasStalled(long monotonicMillis, long clockMillis) {
        return stalls.hasStalled(nanos(WINDOW_MILLIS), nanos(monotonicMillis), clockMillis);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Either clock may show the gap; the one of the day may also be set back. */
    @ParameterizedTest
    @CsvSource({
        "600,600,false",
        "2000,2000,true",
        "10,2000,true",
        "2000,10,true",
        "600,-5000,false",
        "2000,-5000,true"
    })
    void aGapOfEitherClockIsAStall(long monotonicMillis, long clockMillis, boolean stalled) {
        update(0, 50_000);
        assertThat(hasStalled(monotonicMillis, 50_000 + clockMillis)).isEqualTo(stalled);
        update(monotonicMillis, 50_000 + clockMillis);
        assertThat(hasStalled(monotonicMillis, 50_000 + clockMillis)).isEqualTo(stalled);
    }

    @Test
    void aStallCountsForTheWholeWindow() {
        update(0, 0);
        for (long millis = 3_000; millis < 3_000 + WINDOW_MILLIS; millis += 500) {
            update(millis, millis);
            assertThat(hasStalled(millis, millis)).isTrue();
        }
        update(3_000 + WINDOW_MILLIS, 3_000 + WINDOW_MILLIS);
        assertThat(hasStalled(3_000 + WINDOW_MILLIS, 3_000 + WINDOW_MILLIS)).isFalse();
    }

    @Test
    void aVmThatHasCaughtUpCountsAgain() {
        update(0, 0);
        update(3_000, 3_000);
        stalls.recordCaughtUp(nanos(3_100), 3_100);
        assertThat(hasStalled(3_200, 3_200)).isFalse();
        assertThat(hasStalled(6_000, 6_000)).isTrue();
    }
}
