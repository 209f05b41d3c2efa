package org.bronzelug.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an endpoint that slows down long before it is full and is filled nevertheless, and
 * against a limit that stays low, or falls although more requests do not slow the endpoint down.
 */
class ConcurrencyKneeTest {
    private static final int SLOTS = 24;
    private static final long SAMPLE_NANOS = 50_000_000L;

    private final Random random = new Random(1);
    private long nowNanos;

    /** Records two seconds of responses of an endpoint that degrades beyond the given number. */
    private void run(ConcurrencyKnee knee, int degradesBeyond) {
        for (int sample = 0; sample < 40; sample++) {
            nowNanos += SAMPLE_NANOS;
            int running = 1 + random.nextInt(SLOTS);
            double excess = Math.max(1, (double) running / degradesBeyond);
            double duration = excess * excess * (0.8 + 0.4 * random.nextDouble());
            knee.record(running, SLOTS, duration, nowNanos);
        }
    }

    @ParameterizedTest
    @CsvSource({"6, 3, 10", "12, 7, 17", "24, 22, 24", "1000, 22, 24"})
    void theLimitIsNearTheNumberBeyondWhichTheEndpointSlowsDown(
            int degradesBeyond, int least, int most) {
        ConcurrencyKnee knee = new ConcurrencyKnee();
        assertThat(knee.slots(SLOTS)).isEqualTo(SLOTS);
        run(knee, degradesBeyond);
        assertThat(knee.slots(SLOTS)).isAtLeast(least);
        assertThat(knee.slots(SLOTS)).isAtMost(most);
    }

    @Property(tries = 200, seed = "1")
    void theLimitIsBetweenOneAndTheSlots(@ForAll long seed) {
        Random any = new Random(seed);
        ConcurrencyKnee knee = new ConcurrencyKnee();
        long time = any.nextLong();
        for (int sample = 0; sample < 100; sample++) {
            time += any.nextInt(500_000_000);
            int slots = 1 + any.nextInt(40);
            knee.record(any.nextInt(60), slots, Math.exp(any.nextGaussian() * 5), time);
            assertThat(knee.slots(slots)).isAtLeast(1);
            assertThat(knee.slots(slots)).isAtMost(slots);
        }
    }
}
