package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.rollout.VersionPreference;
import org.bronzelug.core.routing.EndpointEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a VM that sends requests to a version on trial although it is cut off, the version
 * was rolled back, or its share is used up.
 */
class RolloutTableTest {
    /** Mean response times of the current version by route. */
    private static final Map<String, Double> MEAN_MILLIS = Map.of("route", 10.0, "fast", 1.0);

    private static final double SHARE = 0.1;
    private static final EndpointEntry CURRENT = entry("current", "v1");
    private static final EndpointEntry TARGET = entry("target", "v2");

    private final RolloutTable table = new RolloutTable(SHARE);

    private static EndpointEntry entry(String id, String version) {
        return new EndpointEntry(id, "pool", "127.0.0.1:9", "zone", version, 6, false, 1, Map.of());
    }

    private void update(RolloutStage stage, boolean open, EndpointEntry... listed) {
        RolloutView view = new RolloutView("pool", "v2", stage, open, 1_000, MEAN_MILLIS);
        table.update(Map.of("pool", view), List.of(listed));
    }

    @ParameterizedTest
    @CsvSource({
        "on trial in touch, TRIAL, true, true, TARGET_FIRST",
        "on trial but cut off, TRIAL, false, true, CURRENT_ONLY",
        "retry of a request, TRIAL, true, false, CURRENT_ONLY",
        "shifting, SHIFTING, true, true, TARGET_FIRST",
        "retry while shifting, SHIFTING, true, false, TARGET_FIRST",
        "rolled back, ROLLED_BACK, true, true, CURRENT_ONLY",
        "succeeded, SUCCEEDED, true, true, TARGET_FIRST",
    })
    void stageDecidesWhichVersionsARequestMayGoTo(
            String name,
            RolloutStage stage,
            boolean open,
            boolean firstAttempt,
            VersionPreference expected) {
        update(stage, open, CURRENT, TARGET);
        for (int request = 0; request < 20; request++) {
            table.recordSent(CURRENT);
        }
        assertThat(table.preference("pool", firstAttempt)).isEqualTo(expected);
    }

    @Test
    void versionOnTrialGetsItsShareOnly() {
        update(RolloutStage.TRIAL, true, CURRENT, TARGET);
        int exposed = 0;
        for (int request = 1; request <= 500; request++) {
            boolean target = table.preference("pool", true) == VersionPreference.TARGET_FIRST;
            table.recordSent(target ? TARGET : CURRENT);
            exposed += target ? 1 : 0;
            assertThat(exposed).isAtMost((int) (SHARE * request));
        }
        assertThat(exposed).isAtLeast(35);
    }

    /** Without the exception, an order for the version that runs rejects all requests. */
    @Test
    void targetThatRunsAlreadyServesAllRequests() {
        update(RolloutStage.TRIAL, true, TARGET);
        assertThat(table.preference("pool", true)).isEqualTo(VersionPreference.ANY);
    }

    @Test
    void currentVersionThatIsGoneDoesNotExposeTheTarget() {
        update(RolloutStage.TRIAL, false, CURRENT, TARGET);
        update(RolloutStage.TRIAL, false, TARGET);
        assertThat(table.preference("pool", true)).isEqualTo(VersionPreference.CURRENT_ONLY);
    }

    @Test
    void failedAndSlowResponsesCountAsBad() {
        update(RolloutStage.TRIAL, true, CURRENT, TARGET);
        table.recordResponse(CURRENT, "route", false, 12);
        table.recordResponse(TARGET, "route", true, 12);
        table.recordResponse(TARGET, "route", false, 31);
        table.recordResponse(TARGET, "route", false, 12);
        RolloutUse use = table.report().get(0);
        assertThat(use.getRoutes(0).getTarget()).isEqualTo(3);
        assertThat(use.getRoutes(0).getTargetBad()).isEqualTo(2);
        assertThat(use.getRoutes(0).getCurrentBad()).isEqualTo(0);
        assertThat(use.getEndpoints(0).getBad()).isEqualTo(2);
    }

    /** Delays of a loaded VM make a good version look several times slower where work is short. */
    @ParameterizedTest
    @CsvSource({"1, 0", "4, 0", "20, 0", "31, 1"})
    void delayOfFewMillisecondsIsNotSlow(double millis, long bad) {
        update(RolloutStage.TRIAL, true, CURRENT, TARGET);
        table.recordResponse(TARGET, "fast", false, millis);
        assertThat(table.report().get(0).getRoutes(0).getTargetBad()).isEqualTo(bad);
    }

    @Test
    void otherPoolsAreNotAffected() {
        update(RolloutStage.ROLLED_BACK, true, CURRENT, TARGET);
        assertThat(table.preference("other", true)).isEqualTo(VersionPreference.ANY);
    }
}
