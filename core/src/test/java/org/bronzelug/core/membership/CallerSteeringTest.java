package org.bronzelug.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bronzelug.core.membership.CallerSteering.Candidate;
import org.junit.jupiter.api.Test;

/** Guards against small VMs that get as many requests as large ones, and against lone VMs. */
class CallerSteeringTest {
    private static final List<String> NORTH = List.of("north");

    private static List<Candidate> vms(int large, int small, boolean overloaded) {
        List<Candidate> vms = new ArrayList<>();
        for (int index = 0; index < large; index++) {
            vms.add(new Candidate("large-" + index, "north", 1.5, overloaded && index == 0));
        }
        for (int index = 0; index < small; index++) {
            vms.add(new Candidate("small-" + index, "north", 0.36, false));
        }
        vms.add(new Candidate("elsewhere", "south", 1.5, false));
        return vms;
    }

    @Test
    void callersGoToTheLargeVmsOfTheirZone() {
        assertThat(CallerSteering.addresses(vms(2, 8, false), NORTH))
                .containsExactly("large-0", "large-1");
    }

    @Test
    void callersGoToAllVmsOfTheirZoneWhileALargeOneIsOverloaded() {
        assertThat(CallerSteering.addresses(vms(2, 8, true), NORTH)).hasSize(10);
    }

    @Test
    void callersGoToAllVmsOfTheirZoneIfTooFewAreLarge() {
        assertThat(CallerSteering.addresses(vms(1, 8, false), NORTH)).hasSize(9);
        assertThat(CallerSteering.addresses(vms(2, 80, false), NORTH)).hasSize(82);
    }

    @Test
    void callersGoToAllVmsIfTheirZoneHasTooFew() {
        assertThat(CallerSteering.addresses(vms(1, 0, false), NORTH))
                .containsExactly("large-0", "elsewhere");
        assertThat(CallerSteering.addresses(vms(2, 0, false), List.of())).hasSize(3);
    }

    @Test
    void equalVmsShareTheCallers() {
        assertThat(CallerSteering.addresses(vms(7, 0, true), NORTH)).hasSize(7);
    }
}
