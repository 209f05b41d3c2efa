package org.bronzelug.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.bronzelug.core.admission.PoolAdmission.Cause;
import org.bronzelug.core.admission.PoolAdmission.Refusal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that are held although they will begin too late, and against requests
 * that are rejected although an endpoint accepts them in time.
 */
class PoolAdmissionTest {
    private static final long NANOS = 1_000_000L;
    private static final int WORK = 9_199;
    private static final long STEP_MILLIS = 50;

    private final PoolAdmission<String> pool =
            new PoolAdmission<>(new AdmissionCapacity(256, 8 << 20));

    private static WaitingEntry<String> entry(long limitMillis, long notBeforeMillis) {
        return new WaitingEntry<>(
                "request", "team", 1, WORK, 1, limitMillis * NANOS, notBeforeMillis * NANOS);
    }

    private long millisUntilRefused(long limitMillis) {
        for (long millis = 0; ; millis += STEP_MILLIS) {
            List<Refusal<String>> refused = pool.removeTooLate(millis * NANOS);
            if (!refused.isEmpty()) {
                assertThat(refused.getFirst().cause()).isEqualTo(Cause.TOO_LATE);
                return millis;
            }
        }
    }

    /** The estimate was wrong: the pool accepts nothing any more. */
    @ParameterizedTest
    @CsvSource({"1015", "2538", "7695"})
    void aRequestIsRejectedBeforeItsLimitIfNothingIsAccepted(long limitMillis) {
        for (int index = 0; index < 20; index++) {
            pool.recordAccepted(1, WORK, 0);
        }
        assertThat(pool.offer(entry(limitMillis, 0), 0)).isEmpty();
        assertThat(millisUntilRefused(limitMillis)).isLessThan(limitMillis);
        assertThat(pool.size()).isEqualTo(0);
    }

    @Test
    void aRequestDoesNotWaitForABackoffThatEndsAfterItsLimit() {
        assertThat(pool.offer(entry(1_000, 3_000), 0)).hasSize(1);
        assertThat(pool.offer(entry(1_000, 900), 0)).isEmpty();
    }

    /** Ten requests a second are accepted; the limit is at two seconds. */
    @Test
    void asManyRequestsWaitAsAreAcceptedByTheirLimit() {
        for (int millis = 0; millis < 5_000; millis += 100) {
            pool.recordAccepted(1, WORK, millis * NANOS);
        }
        int waiting = 0;
        while (pool.offer(entry(7_000, 0), 5_000 * NANOS).isEmpty()) {
            waiting++;
        }
        assertThat(waiting).isAtLeast(10);
        assertThat(waiting).isAtMost(40);
    }

    @Test
    void onlyTeamsThatRequestMoreThanTheEqualPartAreBeyondTheirShare() {
        FairShares shares =
                FairShares.of(Map.of("small", 10.0, "even", 40.0, "large", 90.0), 99, 90);
        assertThat(shares.isBeyond("small")).isFalse();
        assertThat(shares.isBeyond("even")).isFalse();
        assertThat(shares.isBeyond("large")).isTrue();
        assertThat(shares.isBeyond("unknown")).isFalse();
        assertThat(shares.admittedFraction(0)).isWithin(1e-9).of(40 / 90.0);
    }

    /** A large team is not held back while there is capacity. */
    @Test
    void noTeamIsBeyondItsShareIfAllRequestsAreAccepted() {
        FairShares shares = FairShares.of(Map.of("small", 10.0, "large", 90.0), 100, 200);
        assertThat(shares.isBeyond("large")).isFalse();
    }
}
