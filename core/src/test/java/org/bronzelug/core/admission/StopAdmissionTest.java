package org.bronzelug.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a stop that cuts off requests which it has sent late, and against one that rejects
 * requests which would have ended in time. Times are in seconds from the begin of the stop, which
 * is late after 2 s and ends after 8 s.
 */
class StopAdmissionTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = -3 * SECOND;

    private static StopAdmission stopping(int requests, double slowShare) {
        StopAdmission admission = new StopAdmission();
        for (int request = 0; request < requests; request++) {
            boolean slow = request < requests * slowShare;
            admission.recordDuration("route", slow ? 5 * SECOND : SECOND / 10);
        }
        admission.begin(START + 2 * SECOND, START + 8 * SECOND);
        return admission;
    }

    @ParameterizedTest
    @CsvSource({
        "early, 0, 0, false, 1, 60, true",
        "limit within the grace, 0, 0, false, 3, 4, true",
        "limit beyond it, 0, 0, false, 3, 60, false",
        "limit beyond it, 0, 0, true, 3, 60, false",
        "too few known, 7, 0, true, 3, 60, false",
        "all short, 64, 0, false, 3, 60, true",
        "all short at the end, 64, 0, false, 7.95, 60, false",
        "a tenth long, 60, 0.1, false, 5, 60, false",
        "a tenth long, 60, 0.1, true, 5, 60, true",
        "a tenth long with time left, 60, 0.1, false, 3, 60, true",
        "most long, 60, 0.6, true, 5, 60, false",
        "long ones forgotten, 600, 0.5, false, 5, 60, true",
        "after the end, 64, 0, true, 9, 60, false",
    })
    void aLateRequestIsSentIfItIsExpectedToEnd(
            String name,
            int requests,
            double slowShare,
            boolean repeatable,
            double seconds,
            double limitSeconds,
            boolean admitted) {
        long nowNanos = START + (long) (seconds * SECOND);
        long limitNanos = nowNanos + (long) (limitSeconds * SECOND);
        assertThat(stopping(requests, slowShare).admits("route", repeatable, limitNanos, nowNanos))
                .isEqualTo(admitted);
    }

    @ParameterizedTest
    @CsvSource({"0", "5", "100"})
    void allRequestsAreSentWhileTheVmDoesNotStop(double seconds) {
        long nowNanos = START + (long) (seconds * SECOND);
        assertThat(new StopAdmission().admits("route", false, nowNanos + SECOND, nowNanos))
                .isTrue();
    }
}
