package org.bronzelug.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against a version that is concluded from a past which was not watched in whole. */
class VersionHistoryTest {
    private static final String POOL = "pool";
    private static final long WINDOW = 10;

    private static void list(VersionHistory history, long now, String... versions) {
        history.update(Map.of(POOL, Set.of(versions)), true, now);
    }

    /** Each step lists some of three versions, or shows that the list is not current. */
    @Property(seed = "41")
    void aSoleVersionIsTheOnlyOneListedWithinTheWindow(
            @ForAll @Size(max = 40) List<@IntRange(max = 8) Integer> steps) {
        VersionHistory history = new VersionHistory();
        for (int now = 0; now < steps.size(); now++) {
            Set<String> listed = versions(steps.get(now));
            history.update(Map.of(POOL, listed), steps.get(now) < 8, now);
            Set<String> expected = new HashSet<>();
            boolean watched = now >= WINDOW;
            for (long past = Math.max(0, now - WINDOW); past <= now; past++) {
                expected.addAll(versions(steps.get((int) past)));
                watched &= steps.get((int) past) < 8;
            }
            assertThat(history.hasSoleVersion(POOL, WINDOW, now))
                    .isEqualTo(watched && expected.size() == 1);
        }
    }

    private static Set<String> versions(int bits) {
        Set<String> versions = new HashSet<>();
        for (int bit = 0; bit < 3; bit++) {
            if ((bits & 1 << bit) != 0) {
                versions.add("v" + bit);
            }
        }
        return versions;
    }

    @Test
    void aVmThatStartsAdoptsWhatAnotherHasWatched() {
        VersionHistory old = new VersionHistory();
        list(old, 0, "v1");
        list(old, 2, "v2");
        VersionHistory started = new VersionHistory();
        started.adopt(old.watchedNanos(11), old.listedVersions(11), 11);
        list(started, 12, "v2");
        assertThat(started.isWatched(WINDOW, 12)).isTrue();
        assertThat(started.versions(POOL, WINDOW, 12)).containsExactly("v2");
        assertThat(started.versions(POOL, 2 * WINDOW, 12)).containsExactly("v1", "v2");
    }

    @Test
    void anInterruptedWatchIsNotContinued() {
        VersionHistory history = new VersionHistory();
        list(history, 0, "v1");
        history.update(Map.of(), false, 11);
        list(history, 12, "v1");
        assertThat(history.hasSoleVersion(POOL, WINDOW, 13)).isFalse();
        assertThat(history.unwatchedNanos(WINDOW, 13)).isEqualTo(9);
    }
}
