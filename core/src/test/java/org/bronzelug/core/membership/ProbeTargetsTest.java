package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Probes go where they are answered, and still find who comes back.
 *
 * <p>What the caller would see: refusals by VMs that could serve. The order: the platform is down,
 * a zone is cut off, and too many probes go to it.
 */
class ProbeTargetsTest {
    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(index -> prefix + index).toList();
    }

    @Property(seed = "8901")
    void givesAsManyDifferentOnesAsThereAre(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 9) int heard,
            @ForAll @IntRange(min = 0, max = 9) int unheard,
            @ForAll @IntRange(min = 1, max = 4) int count) {
        List<String> targets =
                ProbeTargets.choose(
                        names("heard", heard), names("unheard", unheard), count, new Random(seed));
        assertThat(targets).hasSize(Math.min(count, heard + unheard));
        assertThat(targets).containsNoDuplicates();
    }

    @Test
    void asksTheHeardButFindsEveryUnheardInTime() {
        Random random = new Random(8902);
        Set<String> found = new HashSet<>();
        int inVain = 0;
        int rounds = 4_000;
        for (int round = 0; round < rounds; round++) {
            for (String target :
                    ProbeTargets.choose(names("heard", 20), names("unheard", 10), 2, random)) {
                if (target.startsWith("unheard")) {
                    found.add(target);
                    inVain++;
                }
            }
        }
        assertThat(found).hasSize(10);
        assertThat(inVain).isAtMost(rounds / 4);
    }
}
