package org.bronzelug.daemon.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.RosterEntry;
import org.bronzelug.api.VmAddress;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.settings.Settings;

/**
 * Which VMs a caller should use, in order.
 *
 * <p>Callers with the same prompt root are steered to the same VM, which then knows from its own
 * dispatches what the runners have cached; so no VM needs an index of all blocks. VMs that stop or
 * are not heard of come last. Thread-safe.
 */
@Singleton
public final class VmChoice {
    private final Settings settings;
    private final ControlState state;

    @Inject
    public VmChoice(Settings settings, ControlState state) {
        this.settings = settings;
        this.state = state;
    }

    /** The VMs in the order to try them for a prompt root. */
    public List<VmAddress> order(String rootHash) {
        ControlView view = state.view();
        Map<String, RosterEntry> roster = view.catalog().roster();
        List<String> good = new ArrayList<>();
        List<String> last = new ArrayList<>();
        for (String vm : Rendezvous.order(rootHash, roster.keySet())) {
            (isGood(view, vm) ? good : last).add(vm);
        }
        good.addAll(last);
        return good.stream().map(vm -> address(roster.get(vm))).toList();
    }

    private boolean isGood(ControlView view, String vm) {
        if (vm.equals(settings.vm())) {
            return !isDraining();
        }
        ControlView.PeerView peer = view.peers().get(vm);
        return peer != null && peer.live() && !peer.draining();
    }

    /** Whether this VM is about to stop. */
    public boolean isDraining() {
        return state.isDraining();
    }

    /** This VM's own address. */
    public VmAddress self() {
        RosterEntry entry = state.view().catalog().roster().get(settings.vm());
        return entry == null ? VmAddress.newBuilder().setVm(settings.vm()).build() : address(entry);
    }

    private static VmAddress address(RosterEntry entry) {
        return VmAddress.newBuilder()
                .setVm(entry.getVm())
                .setAvailabilityZone(entry.getAvailabilityZone())
                .setAddress(entry.getCallerAddress())
                .build();
    }
}
