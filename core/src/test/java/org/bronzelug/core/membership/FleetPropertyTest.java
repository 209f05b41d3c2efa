package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Freshness, announcements, claims and rates over arbitrary schedules of a fleet.
 *
 * <p>What the caller would see: a withdrawn key that works at one VM, or a team that gets twice its
 * rate. The order: a change is committed and confirmed by a majority, or a claim moves; meanwhile
 * VMs restart and forget, pause and wake, or are cut off from each other or the platform. Why: a VM
 * that did not hear goes on as before, unless its knowledge is known to be too old.
 */
class FleetPropertyTest {
    private static final long DURATION = 40_000 * FleetModel.MILLI;

    @Property(seed = "7101")
    void allFaultsTogether(@ForAll long seed, @ForAll @IntRange(min = 3, max = 7) int size) {
        assertThat(new FleetModel(size, seed, FleetFaults.all()).run(DURATION)).isEmpty();
    }

    @Property(seed = "7102")
    void restartsThatForget(@ForAll long seed, @ForAll @IntRange(min = 3, max = 7) int size) {
        FleetFaults faults = new FleetFaults(true, false, true, true, 5, false);
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    /** VMs confirm a change, restart, and settle from others that have not heard of it yet. */
    @Property(seed = "7106")
    void confirmationsThatAreForgotten(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 5) int size) {
        FleetFaults faults = FleetFaults.frequentRestarts();
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    @Property(seed = "7103")
    void pausedHoldersThatWake(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int size) {
        FleetFaults faults = new FleetFaults(false, true, false, false, 0, false);
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    /**
     * Without faults the fleet serves all the time, and refuses what one central bucket refuses and
     * nothing else: safety by refusing all would be no proof.
     */
    @Property(seed = "7104")
    void servesAllTheTimeWithoutFaults(@ForAll long seed) {
        FleetModel model = new FleetModel(5, seed, FleetFaults.none());
        assertThat(model.run(20_000 * FleetModel.MILLI)).isEmpty();
        assertThat(model.served()).isAtLeast(1_500);
        assertThat(model.admittedCount()).isAtLeast(80);
    }

    /** A platform outage alone stops nobody: the majority vouches for the configuration. */
    @Property(seed = "7105")
    void servesThroughPlatformOutages(@ForAll long seed) {
        FleetFaults faults = new FleetFaults(false, false, false, true, 0, false);
        FleetModel model = new FleetModel(5, seed, faults);
        assertThat(model.run(20_000 * FleetModel.MILLI)).isEmpty();
        assertThat(model.served()).isAtLeast(1_450);
    }
}
