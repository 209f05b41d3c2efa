package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * A team gets no more than rate and burst in any interval, with estimates settled later.
 *
 * <p>What the other teams would see: one team's burst comes twice. The order: it reserves much,
 * waits until its bucket is full again, settles at little, and gets the rest back on top. Why: a
 * refund forgets that the bucket would have overflowed meanwhile.
 */
class TokenBucketTest {
    private static final double RATE = 10;
    private static final double BURST = 100;
    private static final long MILLI = 1_000_000;

    /** One admitted request: when, and what it really used. */
    private static final class Use {
        private final String id;
        private final long time;
        private final double reserved;
        private double settled;
        private boolean open = true;

        private Use(String id, long time, double reserved) {
            this.id = id;
            this.time = time;
            this.reserved = reserved;
            this.settled = reserved;
        }
    }

    @Property(seed = "7301")
    void noIntervalSeesMoreThanRateAndBurst(@ForAll long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        List<Use> uses = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(3_000) * MILLI;
            if (random.nextBoolean()) {
                Use use = new Use("r" + step, now, 1 + random.nextInt(100));
                if (bucket.reserve(use.id, use.reserved, now)) {
                    uses.add(use);
                }
            } else {
                settleOne(bucket, uses, random, now);
            }
        }
        assertEveryIntervalBounded(uses);
    }

    private static void settleOne(TokenBucket bucket, List<Use> uses, Random random, long now) {
        List<Use> open = uses.stream().filter(use -> use.open).toList();
        if (!open.isEmpty()) {
            Use use = open.get(random.nextInt(open.size()));
            use.open = false;
            use.settled = use.reserved * random.nextDouble();
            bucket.settle(use.id, use.settled, now);
        }
    }

    private static void assertEveryIntervalBounded(List<Use> uses) {
        for (int first = 0; first < uses.size(); first++) {
            double sum = 0;
            for (int last = first; last < uses.size(); last++) {
                sum += uses.get(last).settled;
                double seconds = (uses.get(last).time - uses.get(first).time) / 1e9;
                assertThat(sum).isAtMost(RATE * seconds + BURST + 1e-3);
            }
        }
    }

    @Test
    void aLostAnswerAskedForAgainTakesNothingTwice() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        assertThat(bucket.reserve("same", 60, 0)).isTrue();
        assertThat(bucket.reserve("same", 60, 0)).isTrue();
        assertThat(bucket.tokens(0)).isWithin(1e-9).of(40);
    }

    @Test
    void unusedTokensComeBackWhileThereIsRoom() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        assertThat(bucket.reserve("one", 80, 0)).isTrue();
        bucket.settle("one", 20, 0);
        assertThat(bucket.tokens(0)).isWithin(1e-9).of(80);
    }

    @Test
    void tellsWhenTheAmountWillBeThere() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, 0, 0);
        assertThat(bucket.nanosUntil(50, 0)).isEqualTo(5_000 * MILLI);
        assertThat(bucket.nanosUntil(BURST + 1, 0)).isLessThan(0L);
    }
}
