package org.bronzelug.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against VMs whose levels differ permanently because they received the same usage in a
 * different order.
 */
class UsageHistoryTest {
    private static final long MILLI = 1_000_000L;
    private static final long WINDOW_NANOS = 10_000 * MILLI;
    private static final double RATE = 1_000;
    private static final double SIZE = 1_000;

    @Property(seed = "31")
    void levelDoesNotDependOnTheOrderOfReports(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 9_000) Integer> usedMillis,
            @ForAll long seed) {
        List<Integer> shuffled = new ArrayList<>(usedMillis);
        Collections.shuffle(shuffled, new Random(seed));
        double inOrder = history(usedMillis).level(RATE, SIZE, 9_500 * MILLI);
        double mixed = history(shuffled).level(RATE, SIZE, 9_500 * MILLI);
        assertThat(mixed).isWithin(1e-6).of(inOrder);
    }

    private static UsageHistory history(List<Integer> usedMillis) {
        UsageHistory history = new UsageHistory(WINDOW_NANOS);
        usedMillis.forEach(millis -> history.add(100, 1, millis * MILLI));
        return history;
    }

    @Test
    void usageOlderThanTheWindowIsDiscarded() {
        UsageHistory history = new UsageHistory(WINDOW_NANOS);
        history.add(50_000, 1, 0);
        assertThat(history.level(RATE, SIZE, 9_000 * MILLI)).isLessThan(0.0);
        assertThat(history.level(RATE, SIZE, 10_100 * MILLI)).isEqualTo(SIZE);
    }

    @Test
    void usageCountsTwiceWhileHalfOfTheFleetIsReachable() {
        UsageHistory history = new UsageHistory(WINDOW_NANOS);
        history.add(200, 0.5, 0);
        assertThat(history.level(0, SIZE, MILLI)).isEqualTo(600.0);
        history.raiseReachableFractions(1);
        assertThat(history.level(0, SIZE, MILLI)).isEqualTo(800.0);
    }
}
