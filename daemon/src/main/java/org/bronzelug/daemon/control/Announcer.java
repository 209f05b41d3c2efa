package org.bronzelug.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Acknowledged;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.PushObjects;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.membership.Announcement;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.kernel.Pause;

/**
 * Brings committed objects into force: pushes them to all VMs until a majority holds them.
 *
 * <p>The push has two rounds, and a VM counts only if the same incarnation confirms in both. A VM
 * may restart after its first confirmation and lose the objects; the second confirmation shows that
 * the whole majority held them at the same moment, the end of the first round (DESIGN.md
 * "Freshness").
 *
 * <p>Blocking; called on traffic threads, never on the control thread. Thread-safe.
 */
@Singleton
public final class Announcer {
    private static final long EXCHANGE_TIMEOUT_MILLIS = 400;
    private static final int MAXIMUM_ATTEMPTS = 6;
    private static final long RETRY_DELAY_MILLIS = 50;

    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;

    @Inject
    public Announcer(ControlThread control, ControlState state, PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.peers = peers;
    }

    /**
     * Installs the objects on this VM and pushes them to the others.
     *
     * @return whether a majority has confirmed the objects
     */
    public boolean announce(List<VersionedObject> objects) {
        PushObjects push =
                PushObjects.newBuilder().addAllObjects(PeerMessages.toMessages(objects)).build();
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            Announcement announcement = control.submit(() -> begin(objects)).join();
            runRound(
                    push,
                    announcement::confirmFirst,
                    announcement::isFirstRoundComplete,
                    announcement);
            runRound(push, announcement::confirmSecond, announcement::isInForce, announcement);
            synchronized (announcement) {
                if (announcement.isInForce()) {
                    return true;
                }
            }
            Pause.millis(RETRY_DELAY_MILLIS);
        }
        return false;
    }

    private Announcement begin(List<VersionedObject> objects) {
        state.install(objects);
        return new Announcement(state.freshness().majority(), state.freshness().isCaughtUp());
    }

    /** Records the confirmation of one VM. */
    private interface Confirmation {
        void confirm(String vm, String incarnation, boolean caughtUp);
    }

    /**
     * Pushes the objects to all other VMs once. Returns as soon as enough VMs have confirmed, or
     * when each VM has answered or failed.
     */
    private void runRound(
            PushObjects push,
            Confirmation confirmation,
            BooleanSupplier isEnough,
            Announcement announcement) {
        CompletableFuture<Boolean> enoughConfirmed = new CompletableFuture<>();
        BiConsumer<String, Acknowledged> recordConfirmation =
                (vm, acknowledged) -> {
                    synchronized (announcement) {
                        confirmation.confirm(
                                vm, acknowledged.getIncarnation(), acknowledged.getSettled());
                        if (isEnough.getAsBoolean()) {
                            enoughConfirmed.complete(true);
                        }
                    }
                };
        List<CompletableFuture<?>> exchanges = new ArrayList<>();
        state.view()
                .peers()
                .forEach(
                        (vm, peer) ->
                                exchanges.add(
                                        push(peer.peerAddress(), push)
                                                .thenAccept(
                                                        acknowledged ->
                                                                recordConfirmation.accept(
                                                                        vm, acknowledged))
                                                .exceptionally(failure -> null)));
        CompletableFuture<?> allDone =
                CompletableFuture.allOf(exchanges.toArray(new CompletableFuture<?>[0]));
        CompletableFuture.anyOf(allDone, enoughConfirmed).join();
    }

    private CompletableFuture<Acknowledged> push(String address, PushObjects push) {
        return peers.exchange(
                        address,
                        Envelope.newBuilder().setPushObjects(push),
                        EXCHANGE_TIMEOUT_MILLIS)
                .thenApply(Envelope::getAcknowledged);
    }
}
