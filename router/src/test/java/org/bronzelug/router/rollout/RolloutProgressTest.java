package org.bronzelug.router.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.bronzelug.api.fleet.v1.EndpointResponses;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.api.fleet.v1.RouteResponses;
import org.bronzelug.core.rollout.RolloutOrder;
import org.bronzelug.core.rollout.RolloutStage;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that starts a rollout over, loses the evidence of VMs that have gone, or goes
 * back on an end that another VM has written.
 */
class RolloutProgressTest {
    private static final long START = 1_000_000_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final int TARGET_ENDPOINTS = 2;

    private final RolloutProgress rollout = new RolloutProgress(order(Optional.empty()), START);

    private static RolloutOrder order(Optional<RolloutStage> written) {
        return new RolloutOrder("pool", "v2", 20_000, written, "pool", 5);
    }

    private static RolloutUse use(long ageMillis, int target, int bad) {
        return RolloutUse.newBuilder()
                .setPool("pool")
                .setTarget("v2")
                .setAgeMillis(ageMillis)
                .addRoutes(
                        RouteResponses.newBuilder()
                                .setRoute("route")
                                .setCurrent(200)
                                .setTarget(target)
                                .setTargetBad(bad))
                .addEndpoints(EndpointResponses.newBuilder().setEndpoint("a").setBad(bad / 2))
                .addEndpoints(EndpointResponses.newBuilder().setEndpoint("b").setBad(bad - bad / 2))
                .build();
    }

    private RolloutStage stageAt(long seconds) {
        rollout.advance(TARGET_ENDPOINTS, START + seconds * SECOND);
        return rollout.stage();
    }

    private boolean isTargetAlone(int currentEndpoints) {
        rollout.recordCurrentEndpoints(currentEndpoints);
        return rollout.isTargetAlone(TARGET_ENDPOINTS);
    }

    /** A VM that has just started learns from its peers how old the order is. */
    @Test
    void ageIsThatOfTheVmThatSawTheOrderFirst() {
        rollout.record("peer", use(14_500, 100, 0), START);
        assertThat(stageAt(1)).isEqualTo(RolloutStage.TRIAL);
        assertThat(stageAt(2)).isEqualTo(RolloutStage.SHIFTING);
    }

    @Test
    void evidenceOfSeveralVmsIsAddedUp() {
        rollout.record("one", use(1_000, 6, 2), START);
        assertThat(stageAt(1)).isEqualTo(RolloutStage.TRIAL);
        rollout.record("two", use(1_000, 6, 3), START);
        rollout.record("three", use(1_000, 6, 3), START);
        assertThat(stageAt(1)).isEqualTo(RolloutStage.ROLLED_BACK);
    }

    @Test
    void writtenEndIsKept() {
        rollout.update(order(Optional.of(RolloutStage.SUCCEEDED)), START);
        rollout.record("late", use(1_000, 20, 20), START);
        assertThat(stageAt(2)).isEqualTo(RolloutStage.SUCCEEDED);
    }

    @Test
    void versionThatWasHardlyTriedIsRolledBack() {
        rollout.record("one", use(1_000, 3, 0), START);
        assertThat(stageAt(17)).isEqualTo(RolloutStage.ROLLED_BACK);
    }

    /** The endpoints of the current version may be missing from the list after an outage. */
    @Test
    void versionIsNotTakenForWhatRunsOnceTheCurrentOneWasSeen() {
        assertThat(isTargetAlone(0)).isTrue();
        assertThat(isTargetAlone(1)).isFalse();
        assertThat(isTargetAlone(0)).isFalse();
    }

    /** A VM that has just started has not seen the current version's endpoints itself. */
    @Test
    void versionIsNotTakenForWhatRunsIfPeersHaveSeenTheCurrentOne() {
        rollout.record("peer", use(1_000, 6, 0), START);
        assertThat(isTargetAlone(0)).isFalse();
    }

    @Test
    void trialIsClosedForAVmThatHearsTooFewPeers() {
        assertThat(rollout.view(false, START).open()).isFalse();
        assertThat(rollout.view(true, START).open()).isTrue();
    }
}
