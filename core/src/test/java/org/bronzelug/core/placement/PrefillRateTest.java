package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against queue delays that placement overestimates or underestimates because it assumes the
 * prefill rate of another engine.
 */
class PrefillRateTest {
    private static final int TOKENS = 9_000;
    private static final int SAMPLES = 30;

    @Test
    void startsWithTheDefault() {
        assertThat(new PrefillRate().nanosPerToken()).isEqualTo(PrefillRate.DEFAULT_NANOS);
    }

    /**
     * A third of the samples are of prompts that queued, or whose prefix was cached unexpectedly.
     */
    @Property(seed = "9101")
    void estimatesTheRateOfAnyEngineDespiteWrongSamples(
            @ForAll @IntRange(min = 2_000, max = 500_000) int nanosPerToken, @ForAll long seed) {
        PrefillRate rate = new PrefillRate();
        Random random = new Random(seed);
        for (int sample = 0; sample < SAMPLES; sample++) {
            double factor = sample % 3 == 0 ? 10 * random.nextDouble() : 1;
            rate.record(TOKENS, Math.round(TOKENS * (double) nanosPerToken * factor));
        }
        assertThat(rate.nanosPerToken()).isWithin(0.05 * nanosPerToken).of(nanosPerToken);
    }

    @Property(seed = "9102")
    void staysWithinItsBounds(@ForAll int tokens, @ForAll @LongRange long nanos) {
        PrefillRate rate = new PrefillRate();
        for (int sample = 0; sample < SAMPLES; sample++) {
            rate.record(tokens, nanos);
        }
        assertThat(rate.nanosPerToken()).isAtLeast(PrefillRate.MINIMUM_NANOS);
        assertThat(rate.nanosPerToken()).isAtMost(PrefillRate.MAXIMUM_NANOS);
    }

    /** The time of a short prompt is mostly fixed latency, which would distort the rate. */
    @Property(seed = "9103")
    void ignoresShortPrompts(
            @ForAll @IntRange(max = PrefillRate.MINIMUM_TOKENS - 1) int tokens,
            @ForAll @LongRange(min = 1, max = 1_000_000_000_000L) long nanos) {
        PrefillRate rate = new PrefillRate();
        for (int sample = 0; sample < SAMPLES; sample++) {
            rate.record(tokens, nanos);
        }
        assertThat(rate.nanosPerToken()).isEqualTo(PrefillRate.DEFAULT_NANOS);
    }
}
