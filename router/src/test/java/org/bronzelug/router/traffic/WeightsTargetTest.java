package org.bronzelug.router.traffic;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against callers that get responses on weights that were replaced nine seconds ago. This
 * happened when version 3 was published before all runners had version 2, and a runner with version
 * 1 counted as behind only since version 3.
 */
class WeightsTargetTest {
    @ParameterizedTest
    @CsvSource({"0, 100", "1, 200", "2, 500", "3, -1", "4, -1"})
    void aRunnerIsBehindSinceThePublicationOfTheFirstVersionThatItLacks(
            long version, long expected) {
        WeightsTarget target = WeightsTarget.first("m", 1, 100).with(2, 200).with(3, 500);
        assertThat(target.replacedSinceNanos(version).orElse(-1)).isEqualTo(expected);
        assertThat(target.version()).isEqualTo(3);
    }

    @Test
    void theNumberOfVersionsKeptIsBounded() {
        WeightsTarget target = WeightsTarget.first("m", 1, 1);
        for (long version = 2; version < 100; version++) {
            target = target.with(version, version);
        }
        assertThat(target.publishedNanos().size()).isAtMost(32);
        assertThat(target.version()).isEqualTo(99);
    }
}
