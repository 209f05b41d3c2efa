package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Checks freshness, announcements, claims and rates under random schedules of a fleet.
 *
 * <p>Guards against a withdrawn key that still works on one VM, and against a team that is admitted
 * at twice its rate. Both come about when a change is confirmed by a majority or a claim moves
 * while VMs restart, are suspended, or are cut off from each other or the platform: a VM that has
 * not received the change continues as before unless it detects that its configuration exceeds the
 * staleness bound.
 */
class FleetPropertyTest {
    private static final long DURATION = 40_000 * FleetModel.MILLI;

    @Property(seed = "7101")
    void invariantsHoldUnderAllFaults(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 7) int size) {
        assertThat(new FleetModel(size, seed, FleetFaults.all()).run(DURATION)).isEmpty();
    }

    @Property(seed = "7102")
    void invariantsHoldWhenRestartedVmsLoseTheirState(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 7) int size) {
        FleetFaults faults = new FleetFaults(true, false, true, true, 5, false);
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    /**
     * VMs confirm a change, restart, and catch up from other VMs that have not received the change
     * yet.
     */
    @Property(seed = "7106")
    void invariantsHoldWhenVmsRestartAfterConfirming(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 5) int size) {
        FleetFaults faults = FleetFaults.frequentRestarts();
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    @Property(seed = "7103")
    void invariantsHoldWhenSuspendedHoldersResume(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int size) {
        FleetFaults faults = new FleetFaults(false, true, false, false, 0, false);
        assertThat(new FleetModel(size, seed, faults).run(DURATION)).isEmpty();
    }

    /**
     * Without faults, all VMs serve all the time and reject exactly the requests that a central
     * bucket rejects. Without this check, a fleet that rejects every request would pass all other
     * tests.
     */
    @Property(seed = "7104")
    void servesAllTheTimeWithoutFaults(@ForAll long seed) {
        FleetModel model = new FleetModel(5, seed, FleetFaults.none());
        assertThat(model.run(20_000 * FleetModel.MILLI)).isEmpty();
        assertThat(model.served()).isAtLeast(1_500);
        assertThat(model.admittedCount()).isAtLeast(80);
    }

    /**
     * A platform outage alone stops no VM from serving: the majority keeps the configuration within
     * the staleness bound.
     */
    @Property(seed = "7105")
    void servesThroughPlatformOutages(@ForAll long seed) {
        FleetFaults faults = new FleetFaults(false, false, false, true, 0, false);
        FleetModel model = new FleetModel(5, seed, faults);
        assertThat(model.run(20_000 * FleetModel.MILLI)).isEmpty();
        assertThat(model.served()).isAtLeast(1_450);
    }
}
