package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.bronzelug.core.membership.MemberIdentity;
import org.junit.jupiter.api.Test;

/** A team's rate while its group moves from VM to VM, one step at a time. */
class RateSharesTest {
    private static final long LIMIT = 2_000_000_000L;
    private static final String TEAM = "buchhandel";
    private static final int GROUP = RateShares.groupOf(TEAM);
    private static final TeamRate RATE = new TeamRate(10, 100);
    private static final Map<String, TeamRate> RATES = Map.of(TEAM, RATE);

    private final MemberIdentity first = new MemberIdentity("vm-1", "a");
    private final MemberIdentity second = new MemberIdentity("vm-2", "b");
    private final RateShares shares = new RateShares(first, LIMIT);
    private final RateShares others = new RateShares(second, LIMIT);

    @Test
    void theFirstHolderEverStartsFull() {
        take(shares, 1, false, 0);
        assertThat(reserve(shares, "r", 100, 0)).isInstanceOf(Admission.Granted.class);
        assertThat(reserve(shares, "s", 1, 0)).isInstanceOf(Admission.OverRate.class);
    }

    @Test
    void aTakeOverWaitsForTheFormerHolderAndStartsEmpty() {
        take(others, 2, true, 0);
        assertThat(reserve(others, "r", 1, LIMIT)).isInstanceOf(Admission.NotHeld.class);
        long usable = (long) (LIMIT * 1.02) + 1;
        assertThat(reserve(others, "r", 5, usable)).isInstanceOf(Admission.OverRate.class);
        assertThat(reserve(others, "r", 5, usable + 500_000_000L))
                .isInstanceOf(Admission.Granted.class);
    }

    /** The team was idle since the take-over: its first request finds what accrued meanwhile. */
    @Test
    void anIdleTeamAccruesFromTheTakeOverOn() {
        take(others, 2, true, 0);
        long later = LIMIT * 2 + 8_000_000_000L;
        assertThat(reserve(others, "r", 90, later)).isInstanceOf(Admission.Granted.class);
    }

    @Test
    void anHeirGoesOnWithTheTokensLeft() {
        take(shares, 1, false, 0);
        reserve(shares, "r", 70, 0);
        Map<String, Double> left = shares.release(GROUP, RATES, 0);
        assertThat(reserve(shares, "s", 1, 0)).isInstanceOf(Admission.NotHeld.class);
        others.inherit(GROUP, 1, first, left, RATES, 0);
        assertThat(reserve(others, "s", 31, 0)).isInstanceOf(Admission.OverRate.class);
        assertThat(reserve(others, "t", 30, 0)).isInstanceOf(Admission.Granted.class);
    }

    /** A third VM took the group over before the hand-over arrived: the heir must not use it. */
    @Test
    void aHandOverOfAnOlderVersionIsOfNoUse() {
        others.observe(GROUP, 7, new MemberIdentity("vm-3", "c"));
        others.inherit(GROUP, 1, first, Map.of(TEAM, 100.0), RATES, 0);
        assertThat(reserve(others, "s", 1, 0)).isInstanceOf(Admission.NotHeld.class);
    }

    @Test
    void aHolderThatIsNotFreshAdmitsNothing() {
        take(shares, 1, false, 0);
        assertThat(shares.reserve("r", TEAM, RATE, 1, 0, false))
                .isInstanceOf(Admission.NotHeld.class);
    }

    @Test
    void aGroupThatComesBackStartsEmptyAgain() {
        take(shares, 1, false, 0);
        reserve(shares, "r", 1, 0);
        shares.observe(GROUP, 2, second);
        take(shares, 3, true, 0);
        long usable = (long) (LIMIT * 1.02) + 1;
        assertThat(reserve(shares, "s", 50, usable)).isInstanceOf(Admission.OverRate.class);
    }

    private static void take(RateShares of, long version, boolean hadHolder, long now) {
        of.take(GROUP, version, hadHolder);
        of.confirm(GROUP, version, now);
    }

    private static Admission reserve(RateShares of, String id, double amount, long now) {
        return of.reserve(id, TEAM, RATE, amount, now, true);
    }
}
