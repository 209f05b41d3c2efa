package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a class that is left without runners, against runners that no class uses, and
 * against VMs that disagree on more than the border between the sets.
 */
class GoalSeparationTest {
    private static List<String> order(int runners) {
        List<String> names = IntStream.range(0, runners).mapToObj(index -> "r" + index).toList();
        return GoalSeparation.order("pool", names);
    }

    @Property(seed = "31")
    void eachClassHasRunnersAndEachRunnerIsUsed(
            @ForAll @IntRange(min = 1, max = 60) int runners,
            @ForAll @DoubleRange(max = 100) double relaxedBusy,
            @ForAll @DoubleRange(max = 100) double tightBusy) {
        GoalSeparation separation = GoalSeparation.of(order(runners), relaxedBusy, tightBusy);
        Set<String> used = new HashSet<>(separation.runners(GoalClass.TIGHT));
        used.addAll(separation.runners(GoalClass.RELAXED));
        assertThat(separation.tight()).isNotEmpty();
        assertThat(separation.relaxed()).isNotEmpty();
        assertThat(used).hasSize(runners);
    }

    @Property(seed = "32")
    void setsOfVmsThatDisagreeDifferAtTheBorderOnly(
            @ForAll @IntRange(min = 1, max = 60) int runners,
            @ForAll @DoubleRange(max = 20) double relaxedBusy,
            @ForAll @DoubleRange(max = 20) double tightBusy,
            @ForAll @DoubleRange(min = 0.1, max = 4) double error) {
        List<String> order = order(runners);
        GoalSeparation one = GoalSeparation.of(order, relaxedBusy, tightBusy);
        GoalSeparation other = GoalSeparation.of(order, relaxedBusy * error, tightBusy);
        for (GoalSeparation separation : List.of(one, other)) {
            int count = separation.relaxed().size();
            assertThat(separation.relaxed()).isEqualTo(Set.copyOf(order.subList(0, count)));
        }
    }

    @Property(seed = "33")
    void workThatIsKnownInPartDividesTheRunnersAlike(
            @ForAll @DoubleRange(min = 0.1, max = 5) double relaxedBusy,
            @ForAll @DoubleRange(min = 0.1, max = 0.9) double tightBusy,
            @ForAll @DoubleRange(min = 0.1, max = 1) double knownPart) {
        List<String> order = order(42);
        GoalSeparation whole = GoalSeparation.of(order, relaxedBusy, tightBusy);
        GoalSeparation part =
                GoalSeparation.of(order, relaxedBusy * knownPart, tightBusy * knownPart);
        int difference = Math.abs(part.relaxed().size() - whole.relaxed().size());
        // Rounding of the products may move the border by one runner.
        assertThat(difference).isAtMost(1);
    }

    @ParameterizedTest
    @CsvSource({
        // runners, busy with relaxed and tight work, sizes of the sets
        "42, 7.4, 1.76, 31, 11",
        "42, 18.5, 1.76, 36, 6",
        "30, 18.5, 1.76, 26, 4",
        "42, 0.1, 20, 6, 36",
        "42, 0, 20, 42, 42",
        "42, 7, 0, 42, 42",
        "42, 0, 0, 42, 42",
        "42, 0.5, 40, 6, 42",
        "42, 60, 1, 42, 6",
        "42, 60, 60, 42, 42",
        "8, 1.4, 0.34, 6, 2",
        "4, 0.7, 0.17, 3, 1",
        "4, 0.1, 1.5, 1, 3",
        "3, 0.7, 0.17, 3, 3",
        "2, 0.7, 0.17, 2, 2",
        "1, 0.7, 0.17, 1, 1",
        "0, 0.7, 0.17, 0, 0"
    })
    void setsFollowTheWork(int runners, double relaxed, double tight, int first, int second) {
        GoalSeparation separation = GoalSeparation.of(order(runners), relaxed, tight);
        assertThat(separation.relaxed()).hasSize(first);
        assertThat(separation.tight()).hasSize(second);
    }

    @ParameterizedTest
    @CsvSource({"127, 257, false", "129, 257, true", "507, 1015, false", "508, 1015, true"})
    void promptsOverflowAtHalfOfTheirGoal(long expectedMillis, long goal, boolean overflows) {
        assertThat(GoalSeparation.overflows(expectedMillis * 1e6, goal)).isEqualTo(overflows);
    }
}
