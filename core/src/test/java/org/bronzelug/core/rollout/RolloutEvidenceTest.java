package org.bronzelug.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a bad version that is not found within the bad responses it may give, and against
 * a good version that is rolled back because of faults that hit both versions.
 */
class RolloutEvidenceTest {
    private static final int SEEDS = 400;
    private static final int RESPONSES = 200;
    private static final int PERMITTED_BAD_RESPONSES = 50;

    /** Responses of the current version for each one of the target version. */
    private static final int CURRENT_PER_TARGET = 9;

    /**
     * Plays one rollout on two routes; only the first one's target version may be bad.
     *
     * @return bad responses of the target version on the first route, from when it turned bad until
     *     it counted as bad; -1 if it never did
     */
    private static int badResponsesUntilFound(
            double currentRate, double badRate, int badFrom, long seed) {
        Random random = new Random(seed);
        RolloutEvidence evidence = new RolloutEvidence();
        ResponseCounts bad = ResponseCounts.NONE;
        ResponseCounts good = ResponseCounts.NONE;
        long badBefore = 0;
        for (int response = 0; response < RESPONSES; response++) {
            badBefore = response == badFrom ? bad.targetBad() : badBefore;
            double targetRate = response >= badFrom ? badRate : currentRate;
            bad = bad.plus(sample(currentRate, targetRate, random));
            good = good.plus(sample(currentRate, currentRate, random));
            evidence.record("bad", bad);
            evidence.record("good", good);
            if (evidence.isBad()) {
                return (int) (bad.targetBad() - badBefore);
            }
        }
        return -1;
    }

    private static ResponseCounts sample(double currentRate, double targetRate, Random random) {
        int currentBad = 0;
        for (int index = 0; index < CURRENT_PER_TARGET; index++) {
            currentBad += random.nextDouble() < currentRate ? 1 : 0;
        }
        int targetBad = random.nextDouble() < targetRate ? 1 : 0;
        return new ResponseCounts(CURRENT_PER_TARGET, currentBad, 1, targetBad, 0);
    }

    @ParameterizedTest
    @CsvSource({
        "0.00, 0.3, 0",
        "0.00, 0.9, 0",
        "0.02, 0.3, 0",
        "0.02, 0.5, 100",
        "0.14, 0.5, 0",
        "0.14, 0.6, 100",
        "0.30, 0.8, 0",
    })
    void badVersionIsFoundWithinItsPermittedBadResponses(
            double currentRate, double badRate, int badFrom) {
        int found = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            int bad = badResponsesUntilFound(currentRate, badRate, badFrom, seed);
            found += bad >= 0 && bad < PERMITTED_BAD_RESPONSES ? 1 : 0;
        }
        assertThat(found).isAtLeast(SEEDS * 95 / 100);
    }

    @ParameterizedTest
    @CsvSource({"0.00", "0.02", "0.06", "0.14", "0.30"})
    void goodVersionIsNotCalledBad(double rate) {
        int found = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            found += badResponsesUntilFound(rate, rate, 0, seed) >= 0 ? 1 : 0;
        }
        assertThat(found).isAtMost(SEEDS * 2 / 100);
    }
}
