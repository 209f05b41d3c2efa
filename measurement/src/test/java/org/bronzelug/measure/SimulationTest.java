package org.bronzelug.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the measurement program: runs are reproducible by seed, and line fitting is exact. */
class SimulationTest {
    private static RunResult run(Policy policy, Fault fault, long seed) {
        RunSettings settings = new RunSettings(Profile.association(), fault, false, 40, 64);
        return new Simulation(settings, policy, seed).run();
    }

    @Test
    void sameSeedGivesSameResult() {
        assertThat(run(Policy.BRONZELUG, Fault.NONE, 1))
                .isEqualTo(run(Policy.BRONZELUG, Fault.NONE, 1));
        assertThat(run(Policy.BRONZELUG, Fault.NONE, 1))
                .isNotEqualTo(run(Policy.BRONZELUG, Fault.NONE, 2));
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void noRequestWithinItsTeamsRateIsRejected(Fault fault) {
        RunResult result = run(Policy.BRONZELUG, fault, 3);
        assertThat(result.rejectedWithinRate()).isEqualTo(0.0);
        assertThat(result.requests()).isGreaterThan(500.0);
    }

    @Test
    void leastSquaresFitIsExactForPointsOnALine() {
        Slope slope =
                Slope.fit(
                        "line",
                        List.of(
                                new Slope.Point(1, 12),
                                new Slope.Point(2, 14),
                                new Slope.Point(10, 30)));
        assertThat(slope.perItem()).isWithin(1e-9).of(2);
        assertThat(slope.fixed()).isWithin(1e-9).of(10);
        assertThat(slope.error()).isWithin(1e-9).of(0);
    }
}
