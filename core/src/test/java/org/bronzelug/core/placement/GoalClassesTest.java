package org.bronzelug.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against runners being divided between prompts that can wait for nearly as long. */
class GoalClassesTest {
    @ParameterizedTest
    @CsvSource({
        "257 1015, 257, 1015",
        "1015 257, 257, 1015",
        "300 600, 300, 600",
        "100 150 400 500, 150, 400",
        "100 300 5000, 300, 5000",
        "0 300 600, 300, 600",
        "-5 300 600, 300, 600"
    })
    void classesAreSeparatedAtTheGreatestFactor(String goals, long tight, long relaxed) {
        GoalClasses classes = GoalClasses.of(parse(goals)).orElseThrow();
        assertThat(classes.of(tight)).isEqualTo(GoalClass.TIGHT);
        assertThat(classes.of(relaxed)).isEqualTo(GoalClass.RELAXED);
    }

    @ParameterizedTest
    @CsvSource({"300", "300 300", "300 599", "200 300 450", "0 300", "-1 0", "''"})
    void thereIsOneClassIfNoNeighboursDifferByTheFactor(String goals) {
        assertThat(GoalClasses.of(parse(goals))).isEmpty();
    }

    private static List<Long> parse(String goals) {
        return Arrays.stream(goals.split(" "))
                .filter(goal -> !goal.isEmpty())
                .map(Long::valueOf)
                .toList();
    }
}
