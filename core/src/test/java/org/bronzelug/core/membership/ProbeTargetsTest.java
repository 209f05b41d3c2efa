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
 * Checks that most probes go to recently seen VMs, and that a VM that comes back is still found.
 *
 * <p>Guards against rejections by VMs that could serve: the platform is down, a zone is cut off,
 * and too many probes are sent to that zone in vain.
 */
class ProbeTargetsTest {
    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(index -> prefix + index).toList();
    }

    @Property(seed = "8901")
    void choosesTheRequestedNumberOfDifferentTargets(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 9) int recentCount,
            @ForAll @IntRange(min = 0, max = 9) int otherCount,
            @ForAll @IntRange(min = 1, max = 4) int count) {
        List<String> targets =
                ProbeTargets.choose(
                        names("heard", recentCount),
                        names("unheard", otherCount),
                        count,
                        new Random(seed));
        assertThat(targets).hasSize(Math.min(count, recentCount + otherCount));
        assertThat(targets).containsNoDuplicates();
    }

    @Test
    void prefersRecentlySeenVmsAndStillFindsAllOthers() {
        Random random = new Random(8902);
        Set<String> found = new HashSet<>();
        int otherProbes = 0;
        int rounds = 4_000;
        for (int round = 0; round < rounds; round++) {
            for (String target :
                    ProbeTargets.choose(names("heard", 20), names("unheard", 10), 2, random)) {
                if (target.startsWith("unheard")) {
                    found.add(target);
                    otherProbes++;
                }
            }
        }
        assertThat(found).hasSize(10);
        assertThat(otherProbes).isAtMost(rounds / 4);
    }
}
