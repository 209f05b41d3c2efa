package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How old a VM's knowledge is, and whom it may take for gone, one report at a time. */
class FreshnessTest {
    private static final long LIMIT = 2_000;
    private static final long START = 10_000;

    private final MemberIdentity self = new MemberIdentity("vm-1", "a");
    private final MemberIdentity second = new MemberIdentity("vm-2", "b");
    private final MemberIdentity third = new MemberIdentity("vm-3", "c");
    private final Freshness freshness = new Freshness(self, LIMIT, START);

    @BeforeEach
    void setRoster() {
        freshness.setRoster(List.of("vm-1", "vm-2", "vm-3"));
    }

    private static ProbeReport report(MemberIdentity peer, boolean settled) {
        return new ProbeReport(peer, settled, false, OptionalLong.empty(), List.of());
    }

    @Test
    void isFreshForTheLimitAfterAPlatformReadWasSent() {
        assertThat(freshness.isFresh(START)).isFalse();
        freshness.recordPlatform(START);
        assertThat(freshness.isFresh(START + LIMIT)).isTrue();
        assertThat(freshness.isFresh(START + LIMIT + 1)).isFalse();
    }

    @Test
    void oneSettledPeerOfThreeIsNotEnoughForAVmThatForgot() {
        freshness.recordReport(report(second, true), START + 1);
        assertThat(freshness.isCaughtUp()).isFalse();
        assertThat(freshness.isFresh(START + 2)).isFalse();
        freshness.recordReport(report(third, true), START + 3);
        assertThat(freshness.isCaughtUp()).isTrue();
        assertThat(freshness.isFresh(START + 4)).isTrue();
    }

    @Test
    void aPeerThatForgotVouchesForNothing() {
        freshness.recordReport(report(second, false), START + 1);
        freshness.recordReport(report(third, false), START + 1);
        assertThat(freshness.isCaughtUp()).isFalse();
        assertThat(freshness.seenWithin("vm-2", START + 2, 10)).isTrue();
    }

    /**
     * Found by the fleet model: a VM that had just started had heard of nobody, took the holders of
     * all shares for gone, and every restart moved every share.
     */
    @Test
    void aVmThatHasJustStartedTakesNobodyForGone() {
        freshness.recordReport(report(third, true), START + 1);
        assertThat(freshness.isDead(second, START + 100, 1_500)).isFalse();
        freshness.recordReport(report(third, true), START + 1_400);
        assertThat(freshness.isDead(second, START + 1_500, 1_500)).isTrue();
    }

    @Test
    void aVmThatHearsNobodyTakesNobodyForGone() {
        assertThat(freshness.isDead(second, START + 60_000, 1_500)).isFalse();
    }

    @Test
    void aReplacedIncarnationIsGoneThoughItsVmIsHeard() {
        freshness.recordReport(report(new MemberIdentity("vm-2", "new"), true), START + 1_500);
        assertThat(freshness.isDead(second, START + 1_600, 1_500)).isTrue();
    }

    /**
     * Found by restarting all VMs: a VM took its own former incarnation for living, since it heard
     * itself, and as the first choice for its former shares kept everybody from taking them.
     */
    @Test
    void onesOwnFormerIncarnationIsGone() {
        freshness.recordReport(report(second, true), START + 1_500);
        assertThat(freshness.isDead(new MemberIdentity("vm-1", "old"), START + 1_600, 1_500))
                .isTrue();
        assertThat(freshness.isDead(self, START + 1_600, 1_500)).isFalse();
    }

    @Test
    void knowledgeThroughOthersIsAsOldAsTheyFoundIt() {
        ProbeReport.MemberAge age =
                new ProbeReport.MemberAge(third, 400, OptionalLong.of(500), false);
        freshness.recordPlatform(START);
        freshness.recordReport(
                new ProbeReport(second, true, false, OptionalLong.of(900), List.of(age)),
                START + 1_000);
        assertThat(freshness.member("vm-3").orElseThrow().syncedAsOfNanos())
                .isEqualTo(OptionalLong.of(START + 500));
        assertThat(freshness.platformAgeNanos(START + 1_000)).isEqualTo(OptionalLong.of(900));
        assertThat(freshness.freshAsOf(START + 1_000)).isEqualTo(OptionalLong.of(START + 1_000));
    }
}
