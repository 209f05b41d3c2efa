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
 * Chooses the order in which a caller should try the VMs.
 *
 * <p>Callers with the same prompt root are steered to the same VM. That VM knows from its own
 * requests what the runners have cached for the root, so no VM needs an index of all cached blocks.
 * VMs that are stopping or unreachable come last. Thread-safe.
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

    /** Returns the VMs in the order in which to try them for a prompt root. */
    public List<VmAddress> preferenceOrder(String rootHash) {
        ControlView view = state.view();
        Map<String, RosterEntry> roster = view.catalog().roster();
        List<String> available = new ArrayList<>();
        List<String> unavailable = new ArrayList<>();
        for (String vm : Rendezvous.order(rootHash, roster.keySet())) {
            (isAvailable(view, vm) ? available : unavailable).add(vm);
        }
        available.addAll(unavailable);
        return available.stream().map(vm -> address(roster.get(vm))).toList();
    }

    private boolean isAvailable(ControlView view, String vm) {
        if (vm.equals(settings.vm())) {
            return !isDraining();
        }
        ControlView.PeerView peer = view.peers().get(vm);
        return peer != null && peer.live() && !peer.draining();
    }

    /** Returns whether this VM is draining before a graceful stop. */
    public boolean isDraining() {
        return state.isDraining();
    }

    /** Returns this VM's own address. */
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
