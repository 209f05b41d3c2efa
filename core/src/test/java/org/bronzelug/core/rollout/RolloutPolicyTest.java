package org.bronzelug.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzelug.core.rollout.RolloutPolicy.Facts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a rollout that shifts all traffic to an untried or bad version, or that ends while
 * the current version still serves requests.
 */
class RolloutPolicyTest {
    @ParameterizedTest
    @CsvSource({
        "on trial, 1000, 20000, false, 50, true, TRIAL",
        "on trial without endpoints yet, 1000, 20000, false, 0, false, TRIAL",
        "bad, 1000, 20000, true, 50, true, ROLLED_BACK",
        "bad while shifting, 17000, 20000, true, 50, true, ROLLED_BACK",
        "tried, 16000, 20000, false, 50, true, SHIFTING",
        "tried in a short rollout, 4000, 6000, false, 50, true, SHIFTING",
        "hardly tried, 16000, 20000, false, 5, true, ROLLED_BACK",
        "without endpoints, 16000, 20000, false, 50, false, ROLLED_BACK",
        "past its time limit, 25000, 20000, false, 50, true, SHIFTING",
    })
    void stageFollowsFromAgeAndEvidence(
            String name,
            long ageMillis,
            long durationMillis,
            boolean bad,
            long responses,
            boolean available,
            RolloutStage expected) {
        Facts facts = new Facts(ageMillis, durationMillis, bad, responses, available);
        assertThat(RolloutPolicy.stage(facts)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "VMs may not know yet, 16500, 500, 0, false",
        "current version is idle, 17500, 1500, 0, true",
        "current version is busy, 17500, 1500, 3, false",
        "time limit is near, 19500, 3500, 3, true",
    })
    void rolloutEndsOnceTheCurrentVersionIsIdle(
            String name, long ageMillis, long shiftedMillis, int requests, boolean expected) {
        Facts facts = new Facts(ageMillis, 20_000, false, 50, true);
        assertThat(RolloutPolicy.mayEnd(facts, shiftedMillis, requests)).isEqualTo(expected);
    }

    @Test
    void badResponsesOfOneEndpointDoNotCountAgainstItsVersion() {
        assertThat(RolloutPolicy.isSpread(List.of(9L, 0L, 1L), 3)).isFalse();
        assertThat(RolloutPolicy.isSpread(List.of(4L, 3L, 3L), 3)).isTrue();
        assertThat(RolloutPolicy.isSpread(List.of(9L), 1)).isTrue();
    }

    @Test
    void trialStopsWellBeforeThePermittedBadResponses() {
        assertThat(RolloutPolicy.mayContinueTrial(List.of(15L, 14L))).isTrue();
        assertThat(RolloutPolicy.mayContinueTrial(List.of(15L, 15L))).isFalse();
    }

    @Test
    void exposureNeverExceedsItsFraction() {
        Exposure exposure = new Exposure(0.1);
        for (int request = 1; request <= 1_000; request++) {
            exposure.recordSent(exposure.mayExpose());
            assertThat(exposure.targetRequests()).isAtMost(request / 10);
        }
        assertThat(exposure.targetRequests()).isAtLeast(75);
    }
}
