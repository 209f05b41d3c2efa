package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against short urgent prompts that miss their target time behind long prompts, because all
 * teams have the same rank.
 */
class PromptPriorityTest {
    private static final OptionalInt TEAM_RANK = OptionalInt.of(1);
    private static final int RUN_MILLIS = 20_000;
    private static final int SHORT_MILLIS = 10;
    private static final int SHORT_GOAL_MILLIS = 500;
    private static final int LONG_MILLIS = 450;

    @Property(seed = "9201")
    void teamRankTakesPrecedenceOverRouteRank(
            @ForAll @IntRange(max = 2) int first,
            @ForAll @IntRange(max = 2) int second,
            @ForAll @IntRange(max = 9) int firstRoute,
            @ForAll @IntRange(max = 9) int secondRoute) {
        int firstPriority = PromptPriority.of(OptionalInt.of(first), firstRoute);
        int secondPriority = PromptPriority.of(OptionalInt.of(second), secondRoute);
        if (first < second) {
            assertThat(firstPriority).isLessThan(secondPriority);
        }
    }

    @Property(seed = "9202")
    void staysWithinTheRangeThatRunnersAccept(@ForAll int team, @ForAll int route) {
        for (OptionalInt rank : new OptionalInt[] {OptionalInt.empty(), OptionalInt.of(team)}) {
            assertThat(PromptPriority.of(rank, route)).isAtLeast(PromptPriority.MOST_URGENT);
            assertThat(PromptPriority.of(rank, route)).isAtMost(PromptPriority.LEAST_URGENT);
        }
    }

    /**
     * A runner prefills long prompts for two thirds of its time and short ones for a quarter. With
     * the routes' ranks, 9 of 10 short prompts must begin in time; with the team's rank alone,
     * fewer do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shortUrgentPromptsBeginInTimeBesideLongOnes(long seed) {
        double byTeam = fractionInTime(seed, 0, 0);
        double byRoute = fractionInTime(seed, 0, 1);
        assertThat(byRoute).isAtLeast(0.9);
        assertThat(byTeam).isLessThan(byRoute);
    }

    private static double fractionInTime(long seed, int shortRoute, int longRoute) {
        Random random = new Random(seed);
        PriorityQueue<Waiting> waiting =
                new PriorityQueue<>(
                        Comparator.comparingInt(Waiting::priority)
                                .thenComparingInt(Waiting::arrived));
        int shortPrompts = 0;
        int inTime = 0;
        int busyUntil = 0;
        for (int now = 0; now < RUN_MILLIS; now++) {
            if (random.nextDouble() < 0.025) {
                shortPrompts++;
                waiting.add(
                        new Waiting(PromptPriority.of(TEAM_RANK, shortRoute), now, SHORT_MILLIS));
            }
            if (random.nextDouble() < 0.0015) {
                waiting.add(new Waiting(PromptPriority.of(TEAM_RANK, longRoute), now, LONG_MILLIS));
            }
            if (now >= busyUntil && !waiting.isEmpty()) {
                Waiting next = waiting.poll();
                busyUntil = now + next.millis;
                boolean isShort = next.millis == SHORT_MILLIS;
                inTime += isShort && now - next.arrived < SHORT_GOAL_MILLIS ? 1 : 0;
            }
        }
        return (double) inTime / shortPrompts;
    }

    private record Waiting(int priority, int arrived, int millis) {}
}
