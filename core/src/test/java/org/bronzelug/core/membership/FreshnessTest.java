package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the staleness of a VM's configuration, and which incarnations the VM treats as dead,
 * report by report.
 */
class FreshnessTest {
    private static final long STALENESS_BOUND = 2_000;
    private static final long START = 10_000;

    private final MemberIdentity self = new MemberIdentity("vm-1", "a");
    private final MemberIdentity second = new MemberIdentity("vm-2", "b");
    private final MemberIdentity third = new MemberIdentity("vm-3", "c");
    private final Freshness freshness = new Freshness(self, STALENESS_BOUND, START);

    @BeforeEach
    void setRoster() {
        freshness.setRoster(List.of("vm-1", "vm-2", "vm-3"));
    }

    private static ProbeReport report(MemberIdentity peer, boolean caughtUp) {
        return new ProbeReport(peer, caughtUp, false, OptionalLong.empty(), List.of());
    }

    @Test
    void isFreshWithinTheBoundAfterAPlatformReadWasSent() {
        assertThat(freshness.isFresh(START)).isFalse();
        freshness.recordPlatformRead(START);
        assertThat(freshness.isFresh(START + STALENESS_BOUND)).isTrue();
        assertThat(freshness.isFresh(START + STALENESS_BOUND + 1)).isFalse();
    }

    @Test
    void restartedVmCatchesUpOnlyFromAMajorityOfOtherVms() {
        freshness.recordReport(report(second, true), START + 1);
        assertThat(freshness.isCaughtUp()).isFalse();
        assertThat(freshness.isFresh(START + 2)).isFalse();
        freshness.recordReport(report(third, true), START + 3);
        assertThat(freshness.isCaughtUp()).isTrue();
        assertThat(freshness.isFresh(START + 4)).isTrue();
    }

    @Test
    void peersThatAreNotCaughtUpDoNotCountForTheMajority() {
        freshness.recordReport(report(second, false), START + 1);
        freshness.recordReport(report(third, false), START + 1);
        assertThat(freshness.isCaughtUp()).isFalse();
        assertThat(freshness.seenWithin("vm-2", START + 2, 10)).isTrue();
    }

    /**
     * Guards against a restarted VM that treats the holders of all shares as dead because it has
     * not seen any VM yet: every restart would move every share.
     */
    @Test
    void vmThatHasJustStartedTreatsNoVmAsDead() {
        freshness.recordReport(report(third, true), START + 1);
        assertThat(freshness.isDead(second, START + 100, 1_500)).isFalse();
        freshness.recordReport(report(third, true), START + 1_400);
        assertThat(freshness.isDead(second, START + 1_500, 1_500)).isTrue();
    }

    @Test
    void vmThatSeesNoOtherVmTreatsNoVmAsDead() {
        assertThat(freshness.isDead(second, START + 60_000, 1_500)).isFalse();
    }

    @Test
    void replacedIncarnationIsDeadAlthoughItsVmIsSeen() {
        freshness.recordReport(report(new MemberIdentity("vm-2", "new"), true), START + 1_500);
        assertThat(freshness.isDead(second, START + 1_600, 1_500)).isTrue();
    }

    /**
     * Guards against a restarted VM that treats its previous incarnation as living because it sees
     * its own name. When all VMs restarted, that VM was the first choice for the shares of its
     * previous incarnation, did not acquire them, and kept the other VMs from acquiring them.
     */
    @Test
    void previousIncarnationOfThisVmIsDead() {
        freshness.recordReport(report(second, true), START + 1_500);
        assertThat(freshness.isDead(new MemberIdentity("vm-1", "old"), START + 1_600, 1_500))
                .isTrue();
        assertThat(freshness.isDead(self, START + 1_600, 1_500)).isFalse();
    }

    @Test
    void agesInAReportAreCountedBackFromTheProbe() {
        ProbeReport.MemberAge age =
                new ProbeReport.MemberAge(third, 400, OptionalLong.of(500), false);
        freshness.recordPlatformRead(START);
        freshness.recordReport(
                new ProbeReport(second, true, false, OptionalLong.of(900), List.of(age)),
                START + 1_000);
        assertThat(freshness.member("vm-3").orElseThrow().syncedAsOfNanos())
                .isEqualTo(OptionalLong.of(START + 500));
        assertThat(freshness.platformAgeNanos(START + 1_000)).isEqualTo(OptionalLong.of(900));
        assertThat(freshness.syncedAsOf(START + 1_000)).isEqualTo(OptionalLong.of(START + 1_000));
    }
}
