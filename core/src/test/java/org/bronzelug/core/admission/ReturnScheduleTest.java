package org.bronzelug.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against callers that are rejected together and return together, so that most of them are
 * rejected again.
 */
class ReturnScheduleTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int WINDOW_MILLIS = 50;

    private static List<Long> delays(int count, double rate, long remainingMillis) {
        ReturnSchedule schedule = new ReturnSchedule();
        List<Long> delays = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            delays.add(
                    schedule.reserveMillis(9_199, rate, 0, remainingMillis * NANOS_PER_MILLI, 0));
        }
        return delays;
    }

    /** Two seconds of rejections at most, as in a burst that one VM rejects. */
    @Property(seed = "4711")
    void returnsAreInOrderOfRejectionAndWithinAThirdOfTheRemainingTime(
            @ForAll @IntRange(min = 2, max = 60) int count,
            @ForAll @IntRange(min = 300, max = 15_000) int remainingMillis,
            @ForAll @IntRange(min = 60, max = 3_000) int tokensPerMilli) {
        List<Long> delays =
                delays(count, tokensPerMilli / (double) NANOS_PER_MILLI, remainingMillis);
        assertThat(delays).isInOrder();
        assertThat(delays.getFirst()).isAtLeast(1);
        assertThat(delays.getLast()).isAtMost(remainingMillis / 3);
    }

    /** The pool accepts ten requests in a second; 200 are rejected at one moment. */
    @Property(seed = "4712")
    void noMomentGetsMoreThanAFifthOfTheReturns(
            @ForAll @IntRange(min = 3_000, max = 15_000) int remainingMillis) {
        List<Long> delays = delays(200, 9_199 / (100.0 * NANOS_PER_MILLI), remainingMillis);
        for (long start : delays) {
            long together =
                    delays.stream()
                            .filter(delay -> delay >= start && delay < start + WINDOW_MILLIS)
                            .count();
            assertThat(together).isAtMost(200 / 5);
        }
    }
}
