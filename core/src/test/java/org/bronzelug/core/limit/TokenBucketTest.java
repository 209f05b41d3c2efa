package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against a team that gets more than rate and burst in an interval. The team reserves many
 * tokens, waits until its bucket is full again, and settles at few. A plain refund ignores that the
 * bucket would have overflowed meanwhile, so the team could use its burst twice.
 */
class TokenBucketTest {
    private static final double RATE = 10;
    private static final double BURST = 100;
    private static final long MILLI = 1_000_000;

    /** One admitted request, with its time and the amounts reserved and used. */
    private static final class Request {
        private final String id;
        private final long time;
        private final double reserved;
        private double settled;
        private boolean open = true;

        private Request(String id, long time, double reserved) {
            this.id = id;
            this.time = time;
            this.reserved = reserved;
            this.settled = reserved;
        }
    }

    @Property(seed = "7301")
    void noIntervalAdmitsMoreThanRateAndBurst(@ForAll long seed) {
        Random random = new Random(seed);
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        List<Request> requests = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(3_000) * MILLI;
            if (random.nextBoolean()) {
                Request request = new Request("r" + step, now, 1 + random.nextInt(100));
                if (bucket.reserve(request.id, request.reserved, now)) {
                    requests.add(request);
                }
            } else {
                settleOne(bucket, requests, random, now);
            }
        }
        assertEveryIntervalBounded(requests);
    }

    private static void settleOne(
            TokenBucket bucket, List<Request> requests, Random random, long now) {
        List<Request> open = requests.stream().filter(request -> request.open).toList();
        if (!open.isEmpty()) {
            Request request = open.get(random.nextInt(open.size()));
            request.open = false;
            request.settled = request.reserved * random.nextDouble();
            bucket.settle(request.id, request.settled, now);
        }
    }

    private static void assertEveryIntervalBounded(List<Request> requests) {
        for (int first = 0; first < requests.size(); first++) {
            double sum = 0;
            for (int last = first; last < requests.size(); last++) {
                sum += requests.get(last).settled;
                double seconds = (requests.get(last).time - requests.get(first).time) / 1e9;
                assertThat(sum).isAtMost(RATE * seconds + BURST + 1e-3);
            }
        }
    }

    @Test
    void repeatedReservationTakesTokensOnce() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        assertThat(bucket.reserve("same", 60, 0)).isTrue();
        assertThat(bucket.reserve("same", 60, 0)).isTrue();
        assertThat(bucket.tokens(0)).isWithin(1e-9).of(40);
    }

    @Test
    void unusedTokensAreRefundedWhileThereIsRoom() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, BURST, 0);
        assertThat(bucket.reserve("one", 80, 0)).isTrue();
        bucket.settle("one", 20, 0);
        assertThat(bucket.tokens(0)).isWithin(1e-9).of(80);
    }

    @Test
    void returnsTheTimeUntilTheAmountIsAvailable() {
        TokenBucket bucket = new TokenBucket(RATE, BURST, 0, 0);
        assertThat(bucket.nanosUntil(50, 0)).isEqualTo(5_000 * MILLI);
        assertThat(bucket.nanosUntil(BURST + 1, 0)).isLessThan(0L);
    }
}
