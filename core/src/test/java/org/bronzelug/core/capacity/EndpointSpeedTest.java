package org.bronzelug.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint that is taken for faster or slower than it is: after a slowdown that
 * it reports or does not report, because of a wrong header, of an unknown cache hit, or of old
 * samples.
 */
class EndpointSpeedTest {
    private static final long MILLI = 1_000_000L;

    private final EndpointSpeed speed = new EndpointSpeed();

    private void sample(double value, long millis) {
        speed.recordSample(value, value, millis * MILLI);
    }

    private double speedAt(long millis) {
        return speed.speed(millis * MILLI);
    }

    @Property(tries = 300, seed = "1")
    void theEstimateIsBoundedAndNeverUndefined(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int steps) {
        Random random = new Random(seed);
        EndpointSpeed any = new EndpointSpeed();
        long nowNanos = random.nextLong();
        for (int step = 0; step < steps; step++) {
            nowNanos += (long) (random.nextDouble() * 2_000 * MILLI);
            double low = Math.exp(random.nextGaussian() * 20);
            switch (random.nextInt(3)) {
                case 0 -> any.recordWork(1 + random.nextInt(100_000), nowNanos);
                case 1 -> any.recordSample(low, low * (1 + random.nextInt(5)), nowNanos);
                default -> {
                    long sampled = nowNanos - random.nextInt(2_000) * MILLI;
                    int percent = random.nextInt(5_000);
                    any.setPeers(SpeedReports.of(percent, sampled, nowNanos), nowNanos);
                }
            }
            assertThat(any.speed(nowNanos)).isAtLeast(EndpointSpeed.MINIMUM);
            assertThat(any.speed(nowNanos)).isAtMost(EndpointSpeed.MAXIMUM);
        }
    }

    @ParameterizedTest
    @CsvSource({"0.4", "0.6", "1.0", "1.6"})
    void aChangedSpeedIsLearnedWithinTwoSeconds(double changed) {
        for (long millis = 0; millis < 3_000; millis += 100) {
            sample(1, millis);
        }
        for (long millis = 3_000; millis <= 5_000; millis += 100) {
            sample(changed, millis);
        }
        assertThat(speedAt(5_000)).isWithin(0.25 * Math.abs(1 - changed) + 0.01).of(changed);
    }

    @Test
    void withoutFreshSamplesTheEstimateReturnsToThePool() {
        for (long millis = 0; millis < 3_000; millis += 10) {
            sample(0.3, millis);
        }
        assertThat(speedAt(3_000)).isLessThan(0.4);
        assertThat(speedAt(13_000)).isGreaterThan(0.95);
    }

    /** Its effect must end even if the endpoint is not used any more. */
    @ParameterizedTest
    @CsvSource({"0, 0.38, 0.42", "600, 0.38, 0.42", "800, 0.6, 0.67", "2000, 0.99, 1"})
    void theReportedPercentageActsAtOnceAndDecays(long ageMillis, double least, double most) {
        speed.recordWork(250, 0);
        assertThat(speedAt(ageMillis)).isAtLeast(least);
        assertThat(speedAt(ageMillis)).isAtMost(most);
    }

    /** A slowdown that the endpoint reports must not appear twice, in the header and the times. */
    @Test
    void aReportedSlowdownIsCountedOnce() {
        for (long millis = 0; millis < 600; millis += 100) {
            speed.recordWork(250, millis * MILLI);
            sample(0.4, millis);
        }
        assertThat(speedAt(600)).isWithin(0.05).of(0.4);
        speed.recordWork(100, 650 * MILLI);
        assertThat(speedAt(650)).isWithin(0.1).of(1);
    }

    /** The measured times take precedence over a header that they contradict. */
    @ParameterizedTest
    @CsvSource({"250, 250", "100000, 100000", "30, 30", "100, 250", "100, 1000"})
    void aWrongHeaderIsIgnoredAfterAFewSamples(int first, int second) {
        for (int index = 0; index < 10; index++) {
            speed.recordWork(index % 2 == 0 ? first : second, index * 100 * MILLI);
            sample(1, index * 100);
        }
        speed.recordWork(second, 1_000 * MILLI);
        assertThat(speedAt(1_000)).isWithin(0.35).of(1);
    }

    /** Nine tenths of a prompt may have been cached without the knowledge of this VM. */
    @Test
    void aPossibleCacheHitDoesNotMakeTheEndpointAppearFast() {
        for (long millis = 0; millis < 2_000; millis += 100) {
            speed.recordSample(0.9, 9, millis * MILLI);
        }
        assertThat(speedAt(2_000)).isWithin(0.01).of(1);
        for (long millis = 2_000; millis < 4_000; millis += 100) {
            speed.recordSample(0.04, 0.4, millis * MILLI);
        }
        assertThat(speedAt(4_000)).isWithin(0.1).of(0.4);
    }

    @Test
    void peersSamplesCountByTheirAge() {
        SpeedReports reports = SpeedReports.NONE;
        for (int peer = 0; peer < 20; peer++) {
            reports = reports.plus(SpeedReports.of(160, -200 * MILLI, 0));
        }
        reports = reports.plus(SpeedReports.of(10, -2_900 * MILLI, 0));
        speed.setPeers(reports, 0);
        assertThat(speedAt(0)).isWithin(0.1).of(1.55);
        assertThat(speed.isUnmeasured(250 * MILLI, 0)).isFalse();
        assertThat(speed.isUnmeasured(250 * MILLI, 100 * MILLI)).isTrue();
    }

    /** Peers that report nothing, or something old, leave the VM with its own samples. */
    @ParameterizedTest
    @CsvSource({"0, 0", "-5, 0", "40, 3100"})
    void missingAndOldReportsAreNoSamples(int percent, long ageMillis) {
        assertThat(SpeedReports.of(percent, -ageMillis * MILLI, 0)).isEqualTo(SpeedReports.NONE);
    }

    @Test
    void onlyOwnRecentSamplesAreReported() {
        speed.setPeers(SpeedReports.of(50, 0, 0), 0);
        speed.recordWork(250, 0);
        assertThat(speed.report(0)).isEmpty();
        sample(0.4, 10);
        assertThat(speed.report(110 * MILLI).orElseThrow().ageMillis()).isEqualTo(100);
        assertThat(speed.report(2_011 * MILLI)).isEmpty();
    }
}
