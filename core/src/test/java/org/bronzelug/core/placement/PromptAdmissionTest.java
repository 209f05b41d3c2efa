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
 * Guards against an overload in which all callers are late although most could be served in time:
 * some runners have failed, and the remaining ones queue every prompt.
 */
class PromptAdmissionTest {
    private static final double TOKENS_PER_MILLI = 40;
    private static final long LONG_GOAL_MILLIS = 800;
    private static final long SHORT_GOAL_MILLIS = 600;
    private static final int LONG_TOKENS = 6_000;
    private static final int SHORT_TOKENS = 800;
    private static final int RUNNERS = 5;
    private static final int OVERLOAD_MILLIS = 8_000;

    @ParameterizedTest
    @CsvSource({
        "short queue,            false, 100, false",
        "moderate queue,         false, 470, false",
        "queue beyond the goal,  false, 500, true",
        "urgent prompt,          true, 5000, false",
    })
    void rejectsLessUrgentPromptsAtLongQueues(
            String name, boolean urgent, long queueMillis, boolean rejected) {
        OptionalLong retryMillis =
                PromptAdmission.retryAfterMillis(urgent, LONG_GOAL_MILLIS, queueMillis * 1e6, 0.5);
        assertThat(retryMillis.isPresent()).isEqualTo(rejected);
    }

    /**
     * For 8 seconds, prompts arrive a quarter faster than 5 runners prefill them; callers of
     * rejected prompts retry once, after the given delay. With admission control, more callers get
     * their first token in time than without it, and at least 9 of 10 urgent callers do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void moreCallersAreServedInTimeDuringOverload(long seed) {
        Overload uncontrolled = new Overload(seed, false);
        Overload controlled = new Overload(seed, true);
        uncontrolled.run();
        controlled.run();
        assertThat(controlled.inTime).isAtLeast((int) (uncontrolled.inTime * 1.3));
        assertThat(controlled.urgentInTime).isAtLeast((int) (controlled.urgent * 0.9));
        assertThat(controlled.rejectedTwice).isAtMost(controlled.arrived / 5);
    }

    /** Simulates an overload in which each prompt is sent to the runner with the shortest queue. */
    private static final class Overload {
        private final Random random;
        private final boolean admissionControlled;
        private final double[] queuedTokens = new double[RUNNERS];
        private final Deque<Long> retries = new ArrayDeque<>();
        private int arrived;
        private int urgent;
        private int inTime;
        private int urgentInTime;
        private int rejectedTwice;

        private Overload(long seed, boolean admissionControlled) {
            this.random = new Random(seed);
            this.admissionControlled = admissionControlled;
        }

        private void run() {
            double longPerMilli = 1.25 * RUNNERS * TOKENS_PER_MILLI / (LONG_TOKENS + SHORT_TOKENS);
            for (long millis = 0; millis < OVERLOAD_MILLIS; millis++) {
                if (random.nextDouble() < longPerMilli) {
                    arrived++;
                    send(false, false, millis);
                }
                if (random.nextDouble() < longPerMilli) {
                    arrived++;
                    urgent++;
                    send(true, false, millis);
                }
                while (!retries.isEmpty() && retries.peekFirst() <= millis) {
                    retries.pollFirst();
                    send(false, true, millis);
                }
                for (int runner = 0; runner < RUNNERS; runner++) {
                    queuedTokens[runner] = Math.max(0, queuedTokens[runner] - TOKENS_PER_MILLI);
                }
            }
        }

        private void send(boolean isUrgent, boolean isRetry, long millis) {
            int runner = shortestQueue();
            double waitMillis = queuedTokens[runner] / TOKENS_PER_MILLI;
            OptionalLong retryMillis =
                    admissionControlled
                            ? PromptAdmission.retryAfterMillis(
                                    isUrgent,
                                    LONG_GOAL_MILLIS,
                                    waitMillis * 1e6,
                                    random.nextDouble())
                            : OptionalLong.empty();
            if (retryMillis.isPresent()) {
                reject(isRetry, millis + retryMillis.getAsLong());
                return;
            }
            int tokens = isUrgent ? SHORT_TOKENS : LONG_TOKENS;
            queuedTokens[runner] += tokens;
            double firstMillis = waitMillis + tokens / TOKENS_PER_MILLI;
            if (isUrgent && firstMillis <= SHORT_GOAL_MILLIS) {
                urgentInTime++;
                inTime++;
            } else if (!isUrgent && !isRetry && firstMillis <= LONG_GOAL_MILLIS) {
                inTime++;
            }
        }

        private void reject(boolean isRetry, long retryAtMillis) {
            if (isRetry) {
                rejectedTwice++;
            } else {
                retries.addLast(retryAtMillis);
            }
        }

        private int shortestQueue() {
            double shortestTokens = Arrays.stream(queuedTokens).min().orElseThrow();
            int runner = 0;
            while (queuedTokens[runner] != shortestTokens) {
                runner++;
            }
            return runner;
        }
    }
}
