package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work that is counted twice, too long, or for more than was sent. */
class PrefillWorkTest {
    private static final long MILLI = 1_000_000L;
    private static final double TOLERANCE = 1e-6;

    private final PrefillWork work = new PrefillWork(0);

    private void report(String vm, String incarnation, long counter, long millis) {
        work.recordPeer(vm, incarnation, GoalClass.RELAXED, counter, millis * MILLI);
    }

    private double rate(long millis) {
        return work.tokensPerSecond(GoalClass.RELAXED, millis * MILLI);
    }

    @Test
    void rateIsTheSumOfAllVms() {
        work.recordSent(GoalClass.RELAXED, 10_000, 100 * MILLI);
        report("a", "1", 500, 100);
        report("a", "1", 20_500, 600);
        report("b", "1", 0, 200);
        report("b", "1", 30_000, 1_200);
        assertThat(rate(1_500)).isWithin(TOLERANCE).of(30_000);
        assertThat(work.tokensPerSecond(GoalClass.TIGHT, 1_500 * MILLI)).isZero();
        assertThat(work.sentTokens(GoalClass.RELAXED)).isEqualTo(10_000);
    }

    @ParameterizedTest
    @ValueSource(longs = {2_601, 5_000, 100_000_000})
    void silentPeerCountsNoMoreAfterTwoSeconds(long millis) {
        report("a", "1", 0, 100);
        report("a", "1", 20_000, 600);
        assertThat(rate(2_400)).isWithin(TOLERANCE).of(10_000);
        assertThat(rate(millis)).isZero();
        assertThat(work.isKnown(millis * MILLI)).isFalse();
    }

    @Test
    void repeatedAndLateReportsChangeNothing() {
        report("a", "1", 0, 100);
        report("a", "1", 20_000, 600);
        report("a", "1", 10_000, 700);
        report("a", "1", 20_000, 800);
        assertThat(rate(1_000)).isWithin(TOLERANCE).of(10_000);
    }

    @Test
    void lostReportIsMadeUpByTheNext() {
        report("a", "1", 0, 100);
        report("a", "1", 40_000, 1_600);
        assertThat(rate(1_700)).isWithin(TOLERANCE).of(20_000);
    }

    @Test
    void newIncarnationStartsACounter() {
        report("a", "1", 1_000_000, 100);
        report("a", "2", 500, 600);
        assertThat(rate(700)).isZero();
        report("a", "2", 20_500, 900);
        assertThat(rate(1_000)).isWithin(TOLERANCE).of(10_000);
    }

    @Test
    void startingVmDoesNotTakeTheWorkOfEarlierTimesForNew() {
        report("a", "1", 50_000_000, 100);
        assertThat(rate(200)).isZero();
    }

    @Test
    void workIsUnknownUntilAPeerIsHeard() {
        work.recordSent(GoalClass.RELAXED, 10_000, 100 * MILLI);
        assertThat(work.isKnown(200 * MILLI)).isFalse();
        report("a", "1", 0, 300);
        assertThat(work.isKnown(400 * MILLI)).isTrue();
    }

    @Test
    void workIsUnknownWhileMostPeersAreSilent() {
        report("a", "1", 0, 100);
        report("b", "1", 0, 100);
        report("c", "1", 0, 100);
        report("a", "1", 0, 4_000);
        assertThat(work.isKnown(4_100 * MILLI)).isFalse();
        report("b", "1", 0, 4_200);
        assertThat(work.isKnown(4_300 * MILLI)).isTrue();
    }

    @Test
    void peersThatLeftAreNoLongerExpected() {
        report("a", "1", 0, 100);
        report("b", "1", 0, 100);
        report("c", "1", 0, 100);
        report("a", "1", 0, 10_200);
        assertThat(work.isKnown(10_300 * MILLI)).isTrue();
    }
}
