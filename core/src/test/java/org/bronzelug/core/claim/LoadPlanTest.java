package org.bronzelug.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** At most so many loads of weights at once, those of a former holder included. */
class LoadPlanTest {
    @Property(seed = "7801")
    void neverMoreAtOnceThanAllowed(
            @ForAll @Size(max = 10) List<@IntRange(max = 12) Integer> outdated,
            @ForAll @Size(max = 5) List<@IntRange(max = 12) Integer> loading,
            @ForAll @IntRange(min = 1, max = 3) int most) {
        List<String> busy = loading.stream().distinct().map(number -> "r" + number).toList();
        List<String> old = outdated.stream().distinct().map(number -> "r" + number).toList();
        List<String> next = LoadPlan.next(old, busy, most);
        assertThat(next.size()).isAtMost(Math.max(0, most - busy.size()));
        assertThat(next).containsNoneIn(busy);
        assertThat(old).containsAtLeastElementsIn(next);
    }

    @Test
    void goesOnWhileRunnersAreOutdated() {
        assertThat(LoadPlan.next(List.of("a", "b", "c"), List.of(), 2)).containsExactly("a", "b");
        assertThat(LoadPlan.next(List.of("b", "c"), List.of("b"), 2)).containsExactly("c");
    }
}
