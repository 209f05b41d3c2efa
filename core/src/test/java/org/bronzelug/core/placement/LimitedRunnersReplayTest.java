package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against late and rejected long prompts when seven of eight runners advertise a request
 * limit. If requests of any size count against the limits, short prompts use them up, and the long
 * prompts queue at the eighth runner, which could have served the short ones.
 */
class LimitedRunnersReplayTest {
    private static final int RUNNERS = 8;
    private static final int LIMITED = 7;
    private static final int PREFIXES = 160;
    private static final double LIMIT_PER_SECOND = 1.4;
    private static final double LONG_PER_MILLI = 0.0125;
    private static final double SHORT_PER_MILLI = 0.0193;
    private static final int CACHE_TOKENS = 76_000;
    private static final int LONG_OWN_TOKENS = 2_890;
    private static final int SHORT_OWN_TOKENS = 628;
    private static final long LONG_GOAL_MILLIS = 800;
    private static final long SHORT_GOAL_MILLIS = 600;
    private static final double NANOS_PER_TOKEN = 24_000;
    private static final long MILLI = 1_000_000L;
    private static final long RUN_MILLIS = 40_000;

    /** A prompt, the time of this attempt and the time of the first one. */
    private record Arrival(long nanos, long firstNanos, boolean isLong, PrefixChain chain) {}

    /** Counts the prompts of one kind by their outcome. */
    private static final class Outcome {
        private int inTime;
        private int late;
        private int rejected;

        private double inTimeFraction() {
            return (double) inTime / (inTime + late + rejected);
        }
    }

    private static final class Runner {
        private final Map<PrefixHash, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
        private final EndpointLimit limit = new EndpointLimit(0);
        private int cachedTokens;
        private long busyUntilNanos;

        /** Prefills a prompt; returns the time at which its first token is generated. */
        private long prefill(PrefixChain chain, long nowNanos) {
            int missing = chain.tokens();
            for (PrefixLevel level : chain.levels()) {
                if (!cache.containsKey(level.hash())) {
                    break;
                }
                missing = chain.tokens() - level.tokens();
            }
            addToCache(chain);
            long workNanos = (long) (missing * NANOS_PER_TOKEN);
            busyUntilNanos = Math.max(busyUntilNanos, nowNanos) + workNanos;
            return busyUntilNanos;
        }

        private void addToCache(PrefixChain chain) {
            int before = 0;
            for (PrefixLevel level : chain.levels()) {
                if (cache.put(level.hash(), level.tokens() - before) == null) {
                    cachedTokens += level.tokens() - before;
                }
                before = level.tokens();
            }
            var eldest = cache.values().iterator();
            while (cachedTokens > CACHE_TOKENS) {
                cachedTokens -= eldest.next();
                eldest.remove();
            }
        }
    }

    /** Replays the same load on the runners, with or without a preference for larger prompts. */
    private static final class Replay {
        private final boolean largerFirst;
        private final Random random;
        private final List<Runner> runners = new ArrayList<>();
        private final CacheEstimate cacheEstimate = new CacheEstimate(256, 20_000 * MILLI, 0);
        private final PriorityQueue<Arrival> retries =
                new PriorityQueue<>((left, right) -> Long.compare(left.nanos(), right.nanos()));
        private final PlacementPolicy policy =
                new PlacementPolicy(
                        new PlacementSettings(
                                NANOS_PER_TOKEN, 50_000, 3, 500 * MILLI / NANOS_PER_TOKEN));
        private final Outcome longPrompts = new Outcome();
        private final Outcome shortPrompts = new Outcome();

        private Replay(boolean largerFirst, long seed) {
            this.largerFirst = largerFirst;
            this.random = new Random(seed);
            for (int index = 0; index < RUNNERS; index++) {
                runners.add(new Runner());
                if (index < LIMITED) {
                    runners.get(index)
                            .limit
                            .observe(new AdvertisedLimit.Rate(LIMIT_PER_SECOND), 1, 1);
                }
            }
        }

        private void run() {
            for (long millis = 1; millis < RUN_MILLIS; millis++) {
                long nowNanos = millis * MILLI;
                if (random.nextDouble() < LONG_PER_MILLI) {
                    place(new Arrival(nowNanos, nowNanos, true, longPrompt()));
                }
                if (random.nextDouble() < SHORT_PER_MILLI) {
                    place(new Arrival(nowNanos, nowNanos, false, shortPrompt()));
                }
                while (!retries.isEmpty() && retries.peek().nanos() <= nowNanos) {
                    place(retries.poll());
                }
            }
        }

        private PrefixChain longPrompt() {
            int prefix = random.nextInt(PREFIXES);
            return PrefixChain.ofParts(
                    "model",
                    List.of(
                            new PromptPart("root-" + prefix % 4, 2_520),
                            new PromptPart("prefix-" + prefix, 3_780),
                            new PromptPart("own-" + random.nextLong(), LONG_OWN_TOKENS)));
        }

        private PrefixChain shortPrompt() {
            return PrefixChain.ofParts(
                    "model",
                    List.of(
                            new PromptPart("short-" + random.nextInt(20), 198),
                            new PromptPart("own-" + random.nextLong(), SHORT_OWN_TOKENS)));
        }

        private void place(Arrival arrival) {
            Set<Integer> full = new HashSet<>();
            while (true) {
                int index = choose(arrival, full);
                OptionalLong retryMillis = rejection(arrival, runners.get(index));
                if (retryMillis.isPresent()) {
                    reject(arrival, retryMillis.getAsLong());
                    return;
                }
                boolean acquired =
                        runners.get(index)
                                .limit
                                .tryAcquire(
                                        arrival.chain().tokens(),
                                        largerFirst,
                                        random.nextDouble(),
                                        arrival.nanos());
                if (acquired) {
                    serve(arrival, index);
                    return;
                }
                full.add(index);
            }
        }

        private int choose(Arrival arrival, Set<Integer> full) {
            List<RunnerLoad> loads =
                    IntStream.range(0, RUNNERS)
                            .filter(index -> !full.contains(index))
                            .mapToObj(index -> load(index, arrival.nanos()))
                            .toList();
            Optional<Placement> best =
                    policy.choose(arrival.chain(), loads, cacheEstimate, arrival.nanos());
            return Integer.parseInt(best.orElseThrow().runner());
        }

        private RunnerLoad load(int index, long nowNanos) {
            int tokens = (int) (queuedNanos(runners.get(index), nowNanos) / NANOS_PER_TOKEN);
            return new RunnerLoad(String.valueOf(index), "first", tokens, 0);
        }

        private static long queuedNanos(Runner runner, long nowNanos) {
            return Math.max(0, runner.busyUntilNanos - nowNanos);
        }

        private OptionalLong rejection(Arrival arrival, Runner runner) {
            return PromptAdmission.retryAfterMillis(
                    !arrival.isLong(),
                    LONG_GOAL_MILLIS,
                    queuedNanos(runner, arrival.nanos()),
                    random.nextDouble());
        }

        /** Schedules the only retry of a rejected prompt, or counts the prompt as rejected. */
        private void reject(Arrival arrival, long retryMillis) {
            if (arrival.nanos() > arrival.firstNanos()) {
                longPrompts.rejected++;
                return;
            }
            long retryNanos = arrival.nanos() + retryMillis * MILLI;
            retries.add(new Arrival(retryNanos, arrival.firstNanos(), true, arrival.chain()));
        }

        private void serve(Arrival arrival, int index) {
            long firstToken = runners.get(index).prefill(arrival.chain(), arrival.nanos());
            cacheEstimate.recordCached(
                    String.valueOf(index), "first", arrival.chain(), arrival.nanos());
            long goalMillis = arrival.isLong() ? LONG_GOAL_MILLIS : SHORT_GOAL_MILLIS;
            Outcome outcome = arrival.isLong() ? longPrompts : shortPrompts;
            if (firstToken - arrival.firstNanos() <= goalMillis * MILLI) {
                outcome.inTime++;
            } else {
                outcome.late++;
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4"})
    void morePromptsAreInTimeWhenLimitedRunnersPreferLargerOnes(long seed) {
        Replay anySize = new Replay(false, seed);
        anySize.run();
        Replay largerFirst = new Replay(true, seed);
        largerFirst.run();
        assertThat(largerFirst.longPrompts.inTimeFraction())
                .isGreaterThan(anySize.longPrompts.inTimeFraction() + 0.05);
        assertThat(largerFirst.shortPrompts.inTimeFraction())
                .isAtLeast(anySize.shortPrompts.inTimeFraction());
    }
}
