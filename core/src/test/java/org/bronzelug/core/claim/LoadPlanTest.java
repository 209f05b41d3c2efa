package org.bronzelug.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Checks that the number of simultaneous loads of weights stays limited, counting loads that a
 * previous holder ordered.
 */
class LoadPlanTest {
    @Property(seed = "7801")
    void neverExceedsTheMaximumNumberOfLoads(
            @ForAll @Size(max = 10) List<@IntRange(max = 12) Integer> outdated,
            @ForAll @Size(max = 5) List<@IntRange(max = 12) Integer> loading,
            @ForAll @IntRange(min = 1, max = 3) int maximum) {
        List<String> loadingRunners =
                loading.stream().distinct().map(number -> "r" + number).toList();
        List<String> outdatedRunners =
                outdated.stream().distinct().map(number -> "r" + number).toList();
        List<String> next = LoadPlan.next(outdatedRunners, loadingRunners, maximum);
        assertThat(next.size()).isAtMost(Math.max(0, maximum - loadingRunners.size()));
        assertThat(next).containsNoneIn(loadingRunners);
        assertThat(outdatedRunners).containsAtLeastElementsIn(next);
    }

    @Test
    void ordersOutdatedRunnersUpToTheMaximum() {
        assertThat(LoadPlan.next(List.of("a", "b", "c"), List.of(), 2)).containsExactly("a", "b");
        assertThat(LoadPlan.next(List.of("b", "c"), List.of("b"), 2)).containsExactly("c");
    }
}
