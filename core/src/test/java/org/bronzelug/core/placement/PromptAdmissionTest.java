package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Callers wait for seconds though most could be served in time: a part of the runners is gone, the
 * rest is let run full, and everybody is late.
 */
class PromptAdmissionTest {
    private static final double TOKENS_PER_MILLI = 40;
    private static final long LONG_GOAL_MILLIS = 800;
    private static final long SHORT_GOAL_MILLIS = 600;
    private static final int LONG_TOKENS = 6_000;
    private static final int SHORT_TOKENS = 800;
    private static final int RUNNERS = 5;
    private static final int WAVE_MILLIS = 8_000;

    @ParameterizedTest
    @CsvSource({
        "short queue,            false, 100, false",
        "bearable queue,         false, 470, false",
        "queue beyond the goal,  false, 500, true",
        "urgent prompt,          true, 5000, false",
    })
    void turnsLessUrgentPromptsAwayFromLongQueues(
            String name, boolean urgent, long queueMillis, boolean turnedAway) {
        OptionalLong back =
                PromptAdmission.retryAfterMillis(urgent, LONG_GOAL_MILLIS, queueMillis * 1e6, 0.5);
        assertThat(back.isPresent()).isEqualTo(turnedAway);
    }

    /**
     * Eight seconds in which prompts come a quarter faster than five runners read them. Those
     * rejected retry once, after the delay they were given. More callers than without the bound get
     * their first token in time, and nearly all urgent ones do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void moreCallersAreServedInTimeInAWaveOfLoad(long seed) {
        Wave without = new Wave(seed, false);
        Wave with = new Wave(seed, true);
        without.play();
        with.play();
        assertThat(with.inTime).isAtLeast((int) (without.inTime * 1.3));
        assertThat(with.urgentInTime).isAtLeast((int) (with.urgent * 0.9));
        assertThat(with.lost).isAtMost(with.asked / 5);
    }

    /** Prompts that come to runners, each to the one with the shortest queue. */
    private static final class Wave {
        private final Random random;
        private final boolean bounded;
        private final double[] queuedTokens = new double[RUNNERS];
        private final Deque<Long> returns = new ArrayDeque<>();
        private int asked;
        private int urgent;
        private int inTime;
        private int urgentInTime;
        private int lost;

        private Wave(long seed, boolean bounded) {
            this.random = new Random(seed);
            this.bounded = bounded;
        }

        private void play() {
            double longPerMilli = 1.25 * RUNNERS * TOKENS_PER_MILLI / (LONG_TOKENS + SHORT_TOKENS);
            for (long millis = 0; millis < WAVE_MILLIS; millis++) {
                if (random.nextDouble() < longPerMilli) {
                    asked++;
                    ask(false, false, millis);
                }
                if (random.nextDouble() < longPerMilli) {
                    asked++;
                    urgent++;
                    ask(true, false, millis);
                }
                while (!returns.isEmpty() && returns.peekFirst() <= millis) {
                    returns.pollFirst();
                    ask(false, true, millis);
                }
                for (int runner = 0; runner < RUNNERS; runner++) {
                    queuedTokens[runner] = Math.max(0, queuedTokens[runner] - TOKENS_PER_MILLI);
                }
            }
        }

        private void ask(boolean isUrgent, boolean again, long millis) {
            int runner = shortest();
            double waitMillis = queuedTokens[runner] / TOKENS_PER_MILLI;
            OptionalLong back =
                    bounded
                            ? PromptAdmission.retryAfterMillis(
                                    isUrgent,
                                    LONG_GOAL_MILLIS,
                                    waitMillis * 1e6,
                                    random.nextDouble())
                            : OptionalLong.empty();
            if (back.isPresent()) {
                turnAway(again, millis + back.getAsLong());
                return;
            }
            int tokens = isUrgent ? SHORT_TOKENS : LONG_TOKENS;
            queuedTokens[runner] += tokens;
            double firstMillis = waitMillis + tokens / TOKENS_PER_MILLI;
            if (isUrgent && firstMillis <= SHORT_GOAL_MILLIS) {
                urgentInTime++;
                inTime++;
            } else if (!isUrgent && !again && firstMillis <= LONG_GOAL_MILLIS) {
                inTime++;
            }
        }

        private void turnAway(boolean again, long returnMillis) {
            if (again) {
                lost++;
            } else {
                returns.addLast(returnMillis);
            }
        }

        private int shortest() {
            double least = Arrays.stream(queuedTokens).min().orElseThrow();
            int runner = 0;
            while (queuedTokens[runner] != least) {
                runner++;
            }
            return runner;
        }
    }
}
