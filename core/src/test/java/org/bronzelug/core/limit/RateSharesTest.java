package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bronzelug.core.membership.MemberIdentity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a team's rate at each step in which the team's group moves from one VM to another. */
class RateSharesTest {
    private static final long LIMIT = 2_000_000_000L;
    private static final long SECOND = 1_000_000_000L;
    private static final String TEAM = "buchhandel";
    private static final int GROUP = RateShares.groupOf(TEAM);
    private static final TeamRate RATE = new TeamRate(10, 100);
    private static final Map<String, TeamRate> RATES = Map.of(TEAM, RATE);

    /** When a share that was taken at 0 without a transfer may be used, with an empty bucket. */
    private static final long USABLE = (long) (LIMIT * 1.02);

    private final MemberIdentity first = new MemberIdentity("vm-1", "a");
    private final MemberIdentity second = new MemberIdentity("vm-2", "b");
    private final RateShares shares = new RateShares(first, LIMIT);
    private final RateShares otherShares = new RateShares(second, LIMIT);

    @Test
    void firstHolderEverStartsWithAFullBucket() {
        take(shares, 1, false, 0);
        assertThat(reserve(shares, "r", 100, 0)).isInstanceOf(Admission.Granted.class);
        assertThat(reserve(shares, "s", 1, 0)).isInstanceOf(Admission.OverRate.class);
    }

    @Test
    void ownershipWithoutTransferStartsAfterTheLimitWithAnEmptyBucket() {
        take(otherShares, 2, true, 0);
        assertThat(reserve(otherShares, "r", 1, LIMIT)).isInstanceOf(Admission.NotHeld.class);
        long usableNanos = (long) (LIMIT * 1.02) + 1;
        assertThat(reserve(otherShares, "r", 5, usableNanos))
                .isInstanceOf(Admission.OverRate.class);
        assertThat(reserve(otherShares, "r", 5, usableNanos + 500_000_000L))
                .isInstanceOf(Admission.Granted.class);
    }

    /** Tokens accrue from the change of ownership on, even if the team sends no request. */
    @Test
    void idleTeamAccruesTokensFromTheChangeOfOwnershipOn() {
        take(otherShares, 2, true, 0);
        long laterNanos = LIMIT * 2 + 8_000_000_000L;
        assertThat(reserve(otherShares, "r", 90, laterNanos)).isInstanceOf(Admission.Granted.class);
    }

    @Test
    void successorContinuesWithTheTokensLeft() {
        take(shares, 1, false, 0);
        reserve(shares, "r", 70, 0);
        Map<String, Double> left = shares.release(GROUP, RATES, 0);
        assertThat(reserve(shares, "s", 1, 0)).isInstanceOf(Admission.NotHeld.class);
        otherShares.acceptTransfer(GROUP, 1, first, left, RATES, 0);
        assertThat(reserve(otherShares, "s", 31, 0)).isInstanceOf(Admission.OverRate.class);
        assertThat(reserve(otherShares, "t", 30, 0)).isInstanceOf(Admission.Granted.class);
    }

    /** A third VM took ownership before the transfer arrived, so the successor must not use it. */
    @Test
    void transferOfAnOlderVersionIsIgnored() {
        otherShares.observe(GROUP, 7, new MemberIdentity("vm-3", "c"));
        otherShares.acceptTransfer(GROUP, 1, first, Map.of(TEAM, 100.0), RATES, 0);
        assertThat(reserve(otherShares, "s", 1, 0)).isInstanceOf(Admission.NotHeld.class);
    }

    @Test
    void holderThatIsNotFreshAdmitsNothing() {
        take(shares, 1, false, 0);
        assertThat(shares.reserve("r", TEAM, RATE, 1, 0, false))
                .isInstanceOf(Admission.NotHeld.class);
    }

    @Test
    void groupThatReturnsStartsWithAnEmptyBucket() {
        take(shares, 1, false, 0);
        reserve(shares, "r", 1, 0);
        shares.observe(GROUP, 2, second);
        take(shares, 3, true, 0);
        long usableNanos = (long) (LIMIT * 1.02) + 1;
        assertThat(reserve(shares, "s", 50, usableNanos)).isInstanceOf(Admission.OverRate.class);
    }

    /** The requests that may wait for tokens need at most one full bucket together. */
    @ParameterizedTest
    @CsvSource({"40, 2", "50, 2", "100, 1", "101, 0"})
    void requestsThatMayBeWithinTheRateAreBoundedByTheBurst(double amount, int expected) {
        take(otherShares, 2, true, 0);
        int within = 0;
        for (int number = 0; number < 5; number++) {
            within += mayBeWithinRate(reserve(otherShares, "r" + number, amount, USABLE)) ? 1 : 0;
        }
        assertThat(within).isEqualTo(expected);
    }

    /** A request that asks again, or gives up, takes no second share of what may be left. */
    @Test
    void aRequestThatWaitsIsCountedOnceAndNoLongerOnceItGivesUp() {
        take(otherShares, 2, true, 0);
        assertThat(mayBeWithinRate(reserve(otherShares, "r", 100, USABLE))).isTrue();
        assertThat(mayBeWithinRate(reserve(otherShares, "r", 100, USABLE))).isTrue();
        assertThat(mayBeWithinRate(reserve(otherShares, "s", 1, USABLE))).isFalse();
        otherShares.settle("r", TEAM, 0, USABLE);
        assertThat(mayBeWithinRate(reserve(otherShares, "s", 100, USABLE))).isTrue();
        assertThat(otherShares.tokens(TEAM, USABLE)).hasValue(0.0);
    }

    /** Requests of a team that stays above its rate must be rejected again after a time. */
    @ParameterizedTest
    @CsvSource({"9, true", "10, false"})
    void whatIsMissingOnceTheBucketCouldBeFullIsTheTeamsOwnUse(int seconds, boolean expected) {
        take(otherShares, 2, true, 0);
        for (int second = 1; second < seconds; second++) {
            reserve(otherShares, "r" + second, 10, USABLE + second * SECOND);
        }
        Admission beyond = reserve(otherShares, "s", 20, USABLE + seconds * SECOND);
        assertThat(mayBeWithinRate(beyond)).isEqualTo(expected);
    }

    @Test
    void aTeamBeyondAKnownLevelIsNotWithinItsRate() {
        take(shares, 1, false, 0);
        reserve(shares, "r", 100, 0);
        assertThat(mayBeWithinRate(reserve(shares, "s", 1, 0))).isFalse();
    }

    private static boolean mayBeWithinRate(Admission admission) {
        return admission instanceof Admission.OverRate over && over.mayBeWithinRate();
    }

    private static void take(RateShares vmShares, long version, boolean hadHolder, long now) {
        vmShares.recordAcquisition(GROUP, version, hadHolder);
        vmShares.confirm(GROUP, version, now);
    }

    private static Admission reserve(RateShares vmShares, String id, double amount, long now) {
        return vmShares.reserve(id, TEAM, RATE, amount, now, true);
    }
}
