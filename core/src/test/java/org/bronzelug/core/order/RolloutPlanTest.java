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
    private static final long USABLE_MILLIS = 6_000;

    @Test
    void noRunnerStaysOutdatedWhileVersionsFollowFast() {
        long[] versions = new long[RUNNERS];
        for (long newest = 1; newest <= 20; newest++) {
            // Only half of the runners load a version before the next one is published.
            for (RolloutTarget target :
                    RolloutPlan.next(targets(versions), newest, USABLE_MILLIS)) {
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
        assertThat(RolloutPlan.next(targets, 2, USABLE_MILLIS)).hasSize(expected);
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
        assertThat(RolloutPlan.next(targets, 2, USABLE_MILLIS)).hasSize(expected);
    }

    /**
     * Orders take long under high load, so some runners are not ordered before their weights
     * expire: without an order they wait idle for their turn and begin what still waits there.
     */
    @ParameterizedTest
    @CsvSource({"5999, 0, 1", "6000, 0, 2", "6000, 1, 1", "9000, 2, 0"})
    void runnersThatGetNoRequestsAreOrderedAsUnderMediumLoad(
            long replacedMillis, int inProgress, int expected) {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < RUNNERS; runner++) {
            boolean ordered = runner < inProgress;
            targets.add(new RolloutTarget("r" + runner, 1, replacedMillis, 20, true, ordered));
        }
        assertThat(RolloutPlan.next(targets, 2, USABLE_MILLIS)).hasSize(expected);
    }

    @Test
    void onlyTheRunnersThatGetNoRequestsAreOrderedBeyondTheMaximum() {
        List<RolloutTarget> targets = new ArrayList<>();
        for (int runner = 0; runner < RUNNERS; runner++) {
            boolean older = runner >= RUNNERS - 2;
            long replacedMillis = older ? USABLE_MILLIS : 1_000;
            targets.add(
                    new RolloutTarget(
                            "r" + runner, older ? 1 : 2, replacedMillis, 20, true, false));
        }
        assertThat(
                        RolloutPlan.next(targets, 3, USABLE_MILLIS).stream()
                                .map(RolloutTarget::endpoint))
                .containsExactly("r6", "r7");
    }
}
