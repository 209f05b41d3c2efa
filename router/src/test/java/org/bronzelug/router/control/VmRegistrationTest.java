package org.bronzelug.router.control;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bronzelug.core.membership.PlatformReaders.Candidate;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.settings.FleetBounds;
import org.bronzelug.router.settings.LoadSettings;
import org.bronzelug.router.settings.VmSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a restart of the fleet that uses up the platform's rate of calls for
 * registrations.
 */
class VmRegistrationTest {
    private static final FleetBounds BOUNDS =
            new FleetBounds(0.2, 10, 50, 8, 3_000, 8_000, 8_000, 2_000, 0);

    private final RecordingStore store = new RecordingStore();
    private final DefaultEventLoop control = new DefaultEventLoop();
    private List<Candidate> listed = List.of();

    private void start(String vm, String zone, String address) {
        start(vm, zone, address, new MemberTable(vm));
    }

    private void start(String vm, String zone, String address, MemberTable members) {
        VmSettings settings =
                new VmSettings(
                        vm,
                        zone,
                        "10.0.0.9:80",
                        address,
                        address,
                        List.of(),
                        true,
                        1,
                        BOUNDS,
                        LoadSettings.none(),
                        1_200);
        new VmRegistration(control, store, settings, members, found -> listed = found).start();
    }

    @Test
    void restartOfARegisteredVmMakesTwoCalls() {
        start("vm-1", "north", "10.0.0.1:7600");
        store.calls().clear();
        start("vm-1", "north", "10.0.0.1:7600");
        assertThat(store.calls()).containsExactly("create", "list").inOrder();
    }

    @Test
    void laterOfTwoVmsFindsTheEarlierOneWithItsZone() {
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-2", "south", "10.0.0.2:7600");
        assertThat(listed)
                .containsExactly(new Candidate("vm-1", "north", "10.0.0.1:7600", false, false));
    }

    @Test
    void vmThatRestartsAtAnotherAddressUpdatesItsEntry() {
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-1", "north", "10.0.0.7:7600");
        start("vm-2", "north", "10.0.0.2:7600");
        assertThat(listed.get(0).address()).isEqualTo("10.0.0.7:7600");
    }

    /**
     * An address that no datagram can be sent to would end each round of state updates before all
     * peers are addressed, so that the VMs take each other for dead.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "5",
                "null",
                "{",
                "{}",
                "{\"peersAddress\":7}",
                "{\"peersAddress\":\"\"}",
                "{\"peersAddress\":\"x\"}",
                "{\"peersAddress\":\"10.0.0.3:70000\"}",
                "{\"peersAddress\":\"10.0.0.3:port\"}",
                "{\"peersAddress\":\"host.example:80\"}"
            })
    void anEntryWithoutAUsableAddressIsNoVm(String odd) {
        MemberTable members = new MemberTable("vm-2");
        store.create("router-vms", "odd", odd.getBytes(StandardCharsets.UTF_8));
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-2", "north", "10.0.0.2:7600", members);
        assertThat(listed)
                .containsExactly(new Candidate("vm-1", "north", "10.0.0.1:7600", false, false));
        assertThat(members.addresses()).containsExactly("10.0.0.1:7600");
    }

    /** This VM's own entry may have been overwritten too. */
    @Test
    void anOwnEntryWithoutAUsableAddressIsReplaced() {
        store.create("router-vms", "vm-1", "{}".getBytes(StandardCharsets.UTF_8));
        start("vm-1", "north", "10.0.0.1:7600");
        start("vm-2", "north", "10.0.0.2:7600");
        assertThat(listed)
                .containsExactly(new Candidate("vm-1", "north", "10.0.0.1:7600", false, false));
    }
}
