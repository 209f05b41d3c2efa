package org.bronzelug.core.drain;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Checks that a closed gate that is idle stays idle: no request enters after the last one was
 * counted.
 */
class DrainGateTest {
    @Property(seed = "7901")
    void closedGateThatIsIdleStaysIdle(@ForAll long seed) {
        Random random = new Random(seed);
        DrainGate gate = new DrainGate();
        int inProgress = 0;
        boolean wasIdle = false;
        for (int step = 0; step < 100; step++) {
            switch (random.nextInt(5)) {
                case 0, 1 -> inProgress += gate.enter() ? 1 : 0;
                case 2, 3 -> {
                    if (inProgress > 0) {
                        gate.leave();
                        inProgress--;
                    }
                }
                default -> {
                    if (step > 50) {
                        gate.close();
                    }
                }
            }
            assertThat(gate.requestsInProgress()).isEqualTo(inProgress);
            assertThat(!wasIdle || gate.isIdle()).isTrue();
            wasIdle = gate.isIdle();
        }
    }
}
