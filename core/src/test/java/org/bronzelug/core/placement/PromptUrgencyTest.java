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

/** Short urgent prompts miss their goal behind long ones, since all teams have one rank. */
class PromptUrgencyTest {
    private static final OptionalInt TEAM_RANK = OptionalInt.of(1);
    private static final int PLAY_MILLIS = 20_000;
    private static final int SHORT_MILLIS = 10;
    private static final int SHORT_GOAL_MILLIS = 500;
    private static final int LONG_MILLIS = 450;

    @Property(seed = "9201")
    void aTeamsRankGoesBeforeEveryRoutesRank(
            @ForAll @IntRange(max = 2) int first,
            @ForAll @IntRange(max = 2) int second,
            @ForAll @IntRange(max = 9) int firstRoute,
            @ForAll @IntRange(max = 9) int secondRoute) {
        int one = PromptUrgency.of(OptionalInt.of(first), firstRoute);
        int other = PromptUrgency.of(OptionalInt.of(second), secondRoute);
        if (first < second) {
            assertThat(one).isLessThan(other);
        }
    }

    @Property(seed = "9202")
    void staysWithinTheRangeThatRunnersTake(@ForAll int team, @ForAll int route) {
        for (OptionalInt rank : new OptionalInt[] {OptionalInt.empty(), OptionalInt.of(team)}) {
            assertThat(PromptUrgency.of(rank, route)).isAtLeast(PromptUrgency.FIRST);
            assertThat(PromptUrgency.of(rank, route)).isAtMost(PromptUrgency.LAST);
        }
    }

    /**
     * One runner reads long prompts for two thirds of its time and short ones for a quarter. By
     * urgency nine tenths of the short ones begin in time; by the team's rank alone, fewer.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shortUrgentPromptsBeginInTimeBesideLongOnes(long seed) {
        double byTeam = shareInTime(seed, 0, 0);
        double byRoute = shareInTime(seed, 0, 1);
        assertThat(byRoute).isAtLeast(0.9);
        assertThat(byTeam).isLessThan(byRoute);
    }

    private static double shareInTime(long seed, int shortRoute, int longRoute) {
        Random random = new Random(seed);
        PriorityQueue<Waiting> waiting =
                new PriorityQueue<>(
                        Comparator.comparingInt(Waiting::urgency)
                                .thenComparingInt(Waiting::arrived));
        int shorts = 0;
        int inTime = 0;
        int busyUntil = 0;
        for (int now = 0; now < PLAY_MILLIS; now++) {
            if (random.nextDouble() < 0.025) {
                shorts++;
                waiting.add(
                        new Waiting(PromptUrgency.of(TEAM_RANK, shortRoute), now, SHORT_MILLIS));
            }
            if (random.nextDouble() < 0.0015) {
                waiting.add(new Waiting(PromptUrgency.of(TEAM_RANK, longRoute), now, LONG_MILLIS));
            }
            if (now >= busyUntil && !waiting.isEmpty()) {
                Waiting next = waiting.poll();
                busyUntil = now + next.millis;
                boolean isShort = next.millis == SHORT_MILLIS;
                inTime += isShort && now - next.arrived < SHORT_GOAL_MILLIS ? 1 : 0;
            }
        }
        return (double) inTime / shorts;
    }

    private record Waiting(int urgency, int arrived, int millis) {}
}
