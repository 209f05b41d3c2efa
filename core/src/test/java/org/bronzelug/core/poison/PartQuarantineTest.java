package org.bronzelug.core.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stored quarantine of another writer that matches what it doesn't name. */
class PartQuarantineTest {
    private static final long DAY_NANOS = TimeUnit.DAYS.toNanos(1);
    private static final PartKey PART = PartKey.of("pool", "bad");

    private final PartQuarantine quarantine = new PartQuarantine();

    private static QuarantinedParts stored(Set<PartKey> parts, int times) {
        return new QuarantinedParts(parts, Set.of(), 0, DAY_NANOS, times, true);
    }

    /** Every request contains all of no parts, so every request would be rejected. */
    @Test
    void aQuarantineWithoutPartsIsNotAdopted() {
        assertThat(quarantine.adopt(stored(Set.of(), 1), 1)).isFalse();
        assertThat(quarantine.match(List.of(PartKey.of("pool", "good")), 1)).isEmpty();
        assertThat(quarantine.covers(Set.of())).isFalse();
    }

    /** The length of the next quarantine is doubled by the number of times. */
    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, Integer.MAX_VALUE})
    void theNextQuarantineHasALengthWhateverTheStoredNumberOfTimes(int times) {
        quarantine.adopt(stored(Set.of(PART), times), 1);
        QuarantinedParts next = quarantine.add(Set.of(PART), Set.of(), 1);
        assertThat(next.untilNanos() - 1).isAtLeast(PartQuarantine.FIRST_NANOS);
        assertThat(next.untilNanos() - 1).isAtMost(2 * DAY_NANOS);
    }

    @Test
    void aQuarantineWithPartsIsAdopted() {
        assertThat(quarantine.adopt(stored(Set.of(PART), 1), 1)).isTrue();
        assertThat(quarantine.match(List.of(PART), 1)).isPresent();
    }
}
