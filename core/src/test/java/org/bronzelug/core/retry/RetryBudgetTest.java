package org.bronzelug.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Callers see requests refused a second time while endpoints recover: all endpoints refuse at once,
 * every VM sends each request again, and the repeats are what keeps the endpoints full. The budget
 * holds the repeats to a part of the requests, in every window.
 */
class RetryBudgetTest {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final long STEP_NANOS = 50_000_000L;

    @Property(seed = "11")
    void noWindowHoldsMoreRepeatsThanItsRequestsAllow(
            @ForAll @Size(min = 50, max = 600) List<@IntRange(min = 0, max = 4) Integer> arrivals,
            @ForAll @IntRange(min = 0, max = 20) int slack) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS);
        List<Long> firsts = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long nowNanos = 0;
        for (int arriving : arrivals) {
            nowNanos += STEP_NANOS;
            for (int request = 0; request < arriving; request++) {
                budget.recordFirst(nowNanos);
                firsts.add(nowNanos);
                if (budget.tryRetry(RetryKind.REQUIRED, 0.2, slack, nowNanos)) {
                    repeats.add(nowNanos);
                }
            }
            long start = nowNanos - WINDOW_NANOS;
            long inWindow = repeats.stream().filter(at -> at > start).count();
            // The first attempts of the window before this one's slices count as well.
            long requests = firsts.stream().filter(at -> at > start - WINDOW_NANOS / 8).count();
            assertThat((double) inWindow).isAtMost(0.2 * requests + slack);
        }
    }

    @ParameterizedTest
    @CsvSource({"0.2, 3, 10, 5", "0.2, 0, 10, 2", "0, 4, 100, 4"})
    void grantsJustWhatTheRatioAndTheSlackAllow(
            double ratio, double slack, int requests, int expected) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS);
        for (int request = 0; request < requests; request++) {
            budget.recordFirst(0);
        }
        int granted = 0;
        while (budget.tryRetry(RetryKind.REQUIRED, ratio, slack, 1)) {
            granted++;
        }
        assertThat(granted).isEqualTo(expected);
    }

    /**
     * Streams leave a runner that is to load weights, the next one refuses them, and callers see
     * them break off, as no repeat is left.
     */
    @Property(seed = "12")
    void requestsThatMoveByChoiceLeaveHalfOfTheBudgetToThoseThatMust(
            @ForAll @IntRange(max = 200) int requests, @ForAll @IntRange(max = 60) int slack) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS);
        for (int request = 0; request < requests; request++) {
            budget.recordFirst(0);
        }
        int moved = 0;
        while (budget.tryRetry(RetryKind.BY_CHOICE, 0.2, slack, 1)) {
            moved++;
        }
        int repeated = 0;
        while (budget.tryRetry(RetryKind.REQUIRED, 0.2, slack, 1)) {
            repeated++;
        }
        assertThat(repeated).isAtLeast(moved);
        assertThat(moved + repeated).isEqualTo((int) Math.floor(0.2 * requests + slack));
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "50"})
    void grantsAgainOnceTheWindowHasPassed(int windows) {
        RetryBudget budget = new RetryBudget(WINDOW_NANOS);
        assertThat(budget.tryRetry(RetryKind.REQUIRED, 0, 1, 0)).isTrue();
        assertThat(budget.tryRetry(RetryKind.REQUIRED, 0, 1, WINDOW_NANOS / 2)).isFalse();
        assertThat(
                        budget.tryRetry(
                                RetryKind.REQUIRED,
                                0,
                                1,
                                windows * WINDOW_NANOS + WINDOW_NANOS / 8))
                .isTrue();
    }
}
