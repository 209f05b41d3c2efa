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
 * <p>Two rounds: a VM counts only if the same incarnation confirms in both. After the first round a
 * VM may have restarted and forgotten what it confirmed; the second shows that all of the majority
 * held the objects at one moment, the end of the first round (DESIGN.md "Freshness").
 *
 * <p>Blocking; called on traffic threads, never on the control thread. Thread-safe.
 */
@Singleton
public final class Announcer {
    private static final long EXCHANGE_MILLIS = 400;
    private static final int TRIES = 6;
    private static final long PAUSE_MILLIS = 50;

    private final ControlThread control;
    private final ControlState state;
    private final PeerNetwork peers;

    @Inject
    public Announcer(ControlThread control, ControlState state, PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.peers = peers;
    }

    /** Installs the objects here and pushes them; whether a majority has confirmed them. */
    public boolean announce(List<VersionedObject> objects) {
        PushObjects push =
                PushObjects.newBuilder().addAllObjects(PeerMessages.toMessages(objects)).build();
        for (int attempt = 0; attempt < TRIES; attempt++) {
            Announcement announcement = control.ask(() -> begin(objects)).join();
            round(push, announcement::confirmFirst, announcement::isFirstComplete, announcement);
            round(push, announcement::confirmSecond, announcement::isInForce, announcement);
            synchronized (announcement) {
                if (announcement.isInForce()) {
                    return true;
                }
            }
            Pause.millis(PAUSE_MILLIS);
        }
        return false;
    }

    private Announcement begin(List<VersionedObject> objects) {
        state.install(objects);
        return new Announcement(state.freshness().majority(), state.freshness().isCaughtUp());
    }

    /** Takes one VM's confirmation. */
    private interface Confirmation {
        void confirm(String vm, String incarnation, boolean settled);
    }

    /** One push to all other VMs; ends when enough have confirmed, or all answered or failed. */
    private void round(
            PushObjects push,
            Confirmation confirmation,
            BooleanSupplier isEnough,
            Announcement announcement) {
        CompletableFuture<Boolean> enough = new CompletableFuture<>();
        BiConsumer<String, Acknowledged> count =
                (vm, answer) -> {
                    synchronized (announcement) {
                        confirmation.confirm(vm, answer.getIncarnation(), answer.getSettled());
                        if (isEnough.getAsBoolean()) {
                            enough.complete(true);
                        }
                    }
                };
        List<CompletableFuture<?>> answers = new ArrayList<>();
        state.view()
                .peers()
                .forEach(
                        (vm, peer) ->
                                answers.add(
                                        push(peer.peerAddress(), push)
                                                .thenAccept(answer -> count.accept(vm, answer))
                                                .exceptionally(failure -> null)));
        CompletableFuture<?> all =
                CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
        CompletableFuture.anyOf(all, enough).join();
    }

    private CompletableFuture<Acknowledged> push(String address, PushObjects push) {
        return peers.exchange(address, Envelope.newBuilder().setPushObjects(push), EXCHANGE_MILLIS)
                .thenApply(Envelope::getAcknowledged);
    }
}
