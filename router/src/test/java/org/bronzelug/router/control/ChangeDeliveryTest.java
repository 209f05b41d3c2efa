package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a change that a VM could not apply once and never applies again, and that its
 * peers do not learn of.
 */
class ChangeDeliveryTest {
    private static final int ROUNDS = 100;
    private static final int MOST_ATTEMPTS = 11;

    private final Set<String> failing = new HashSet<>();
    private final List<String> attempts = new ArrayList<>();
    private final List<String> applied = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    private final ChangeDelivery delivery = new ChangeDelivery(this::apply, sent::add);
    private boolean failsByError;

    private void apply(String kind) {
        attempts.add(kind);
        if (failing.contains(kind)) {
            if (failsByError) {
                throw new StackOverflowError("nested too deeply");
            }
            throw new IllegalStateException("can't be applied");
        }
        applied.add(kind);
    }

    private void runRounds() {
        for (int round = 1; round <= ROUNDS; round++) {
            delivery.round(round);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aChangeThatCanNotBeAppliedIsAppliedInALaterRound(boolean byError) {
        failsByError = byError;
        failing.add("a");
        delivery.deliverSafely("a");
        delivery.deliverSafely("b");
        runRounds();
        assertThat(applied).containsExactly("b");
        assertThat(attempts.stream().filter("a"::equals).count()).isAtMost(MOST_ATTEMPTS);
        failing.clear();
        runRounds();
        assertThat(applied).containsExactly("b", "a").inOrder();
        runRounds();
        assertThat(applied).containsExactly("b", "a").inOrder();
    }

    /** The watch that has brought the change learns of the failure, and lists again. */
    @Test
    void aFailureIsPassedToTheCallerAndTheChangeToPeers() {
        failing.add("a");
        assertThrows(IllegalStateException.class, () -> delivery.deliver("a"));
        assertThat(sent).containsExactly("a");
        failing.clear();
        delivery.deliver("a");
        runRounds();
        assertThat(applied).containsExactly("a");
        assertThat(sent).containsExactly("a", "a");
    }
}
