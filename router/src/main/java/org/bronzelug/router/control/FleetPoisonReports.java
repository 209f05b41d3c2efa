package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.List;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.poison.PoisonReport;
import org.bronzelug.core.poison.QuarantinedParts;
import org.bronzelug.router.fleet.FleetGossip;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.poison.PoisonDirectory;
import org.bronzelug.router.settings.VmSettings;

/**
 * Exchanges with all other VMs, at once, what each has seen of crashes of endpoints and of the
 * parts of prompts that may cause them. A VM that has missed it learns the parts under quarantine
 * from the next state update of any VM.
 *
 * <p>Invariant: messages of this class carry nothing else, so that they change no member's state.
 * Confined to the control thread, except for {@link #send}.
 */
final class FleetPoisonReports implements PoisonDirectory.Peers {
    private final EventLoop control;
    private final EventLoop traffic;
    private final VmSettings settings;
    private final MemberTable members;
    private final FleetGossip gossip;
    private final PoisonDirectory directory;

    FleetPoisonReports(
            EventLoop control,
            EventLoop traffic,
            VmSettings settings,
            MemberTable members,
            FleetGossip gossip,
            PoisonDirectory directory) {
        this.control = control;
        this.traffic = traffic;
        this.settings = settings;
        this.members = members;
        this.gossip = gossip;
        this.directory = directory;
    }

    @Override
    public void send(PoisonReport report) {
        control.execute(
                () -> {
                    long nowNanos = System.nanoTime();
                    VmState message =
                            VmState.newBuilder()
                                    .setVm(settings.vm())
                                    .setPeersAddress(settings.peersAddress())
                                    .setCountsOnly(true)
                                    .setPoison(PoisonMessages.encode(report, nowNanos))
                                    .addAllQuarantines(
                                            PoisonMessages.encode(report.quarantines(), nowNanos))
                                    .build();
                    gossip.sendToAll(message, members.addresses());
                });
    }

    /**
     * Adopts the quarantines that the platform keeps.
     *
     * @param onAdopted called on the control thread before any later report of the traffic thread
     */
    void adoptStored(List<QuarantinedParts> stored, Runnable onAdopted) {
        traffic.execute(
                () -> {
                    directory.adopt(stored, "platform");
                    control.execute(onAdopted);
                });
    }

    /** Receives what a message contains for this class. */
    void receive(VmState message, long nowNanos) {
        if (message.hasPoison()) {
            PoisonReport report = PoisonMessages.decode(message.getPoison(), nowNanos);
            traffic.execute(() -> directory.receive(message.getVm(), report));
        }
        if (message.getQuarantinesCount() > 0) {
            List<QuarantinedParts> known =
                    PoisonMessages.decode(message.getQuarantinesList(), nowNanos);
            traffic.execute(() -> directory.adopt(known, "vm " + message.getVm()));
        }
    }
}
