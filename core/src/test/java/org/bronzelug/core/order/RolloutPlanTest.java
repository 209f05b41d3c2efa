package org.bronzelug.core.order;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against responses from weights that were replaced long ago: versions are published faster
 * than all runners load them, the same few runners are ordered first each time, and one runner is
 * never ordered.
 */
class RolloutPlanTest {
    private static final int RUNNERS = 8;
    private static final long LIMIT_MILLIS = 6_000;

    @Test
    void noRunnerStaysOutdatedWhileVersionsFollowFast() {
        long[] versions = new long[RUNNERS];
        for (long newest = 1; newest <= 20; newest++) {
            // Only half of the runners load a version before the next one is published.
            for (RolloutTarget target : RolloutPlan.next(targets(versions), newest, LIMIT_MILLIS)) {
                versions[Integer.parseInt(target.endpoint())] = newest;
            }
            for (long version : versions) {
                assertThat(newest - version).isLessThan(2);
            }
        }
    }

    private static List<RolloutTarget> targets(long[] versions) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < versions.length; runner++) {
            targets.add(
                    new RolloutTarget(String.valueOf(runner), versions[runner], 0, 0, true, false));
        }
        return targets;
    }

    @ParameterizedTest
    @CsvSource({"0, 4", "1, 3", "4, 0", "5, 0"})
    void ordersInProgressCountTowardsTheMaximum(int inProgress, int expected) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < RUNNERS; runner++) {
            targets.add(new RolloutTarget("r" + runner, 1, 0, 0, true, runner < inProgress));
        }
        assertThat(RolloutPlan.next(targets, 2, LIMIT_MILLIS)).hasSize(expected);
    }

    /**
     * Streams take ten seconds instead of one: without the limit, half of the runners wait for
     * their last streams and the others get all requests, while two runners are without power.
     */
    @ParameterizedTest
    @CsvSource({"2, 8, 4", "5, 8, 2", "12, 8, 1", "5, 6, 2", "12, 6, 1", "12, 0, 1"})
    void fewerOrdersAreInProgressUnderHigherLoad(int requests, int responding, int expected) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < RUNNERS; runner++) {
            boolean responds = runner < responding;
            targets.add(
                    new RolloutTarget(
                            "r" + runner, 1, 0, responds ? requests : 0, responds, false));
        }
        assertThat(RolloutPlan.next(targets, 2, LIMIT_MILLIS)).hasSize(expected);
    }

    /**
     * Each order takes longer than the limit, as streams are long: with the load's maximum alone,
     * the last runner is ordered after the limit, and begins requests on replaced weights until
     * then.
     */
    @ParameterizedTest
    @CsvSource({"8, 1", "8, 4", "42, 1", "1, 1", "3, 2"})
    void allRunnersAreOrderedInTimeHoweverLongAnOrderTakes(int runners, int versions) {
        long[] orderedMillis = new long[runners];
        boolean[] ordered = new boolean[runners];
        int maximumAtOnce = 0;
        for (long millis = 0; millis <= LIMIT_MILLIS + versions * 500L; millis += 100) {
            List<RolloutTarget> targets = new ArrayList<>();
            for (int runner = 0; runner < runners; runner++) {
                // The runners lack different numbers of versions, published 500 ms apart.
                long behindMillis = Math.max(0, millis - (runner % versions) * 500L);
                long version = runner % versions;
                targets.add(
                        new RolloutTarget(
                                "r" + runner, version, behindMillis, 20, true, ordered[runner]));
            }
            List<RolloutTarget> next = RolloutPlan.next(targets, versions, LIMIT_MILLIS);
            for (RolloutTarget target : next) {
                int runner = Integer.parseInt(target.endpoint().substring(1));
                ordered[runner] = true;
                orderedMillis[runner] = millis;
            }
            maximumAtOnce = millis == 0 ? 0 : Math.max(maximumAtOnce, next.size());
        }
        for (int runner = 0; runner < runners; runner++) {
            assertThat(ordered[runner]).isTrue();
            assertThat(orderedMillis[runner]).isAtMost(LIMIT_MILLIS + (runner % versions) * 500L);
        }
        assertThat(maximumAtOnce).isAtMost(1 + runners / 10);
    }

    /**
     * After a wait for the lease all runners are due soon: those that are late are ordered at once.
     */
    @ParameterizedTest
    @CsvSource({"0, 1", "3000, 4", "6000, 8", "9000, 8"})
    void ordersThatWereHeldUpAreGivenAtOnce(long behindMillis, int expected) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < RUNNERS; runner++) {
            targets.add(new RolloutTarget("r" + runner, 1, behindMillis, 20, true, false));
        }
        assertThat(RolloutPlan.next(targets, 2, LIMIT_MILLIS)).hasSize(expected);
    }
}
