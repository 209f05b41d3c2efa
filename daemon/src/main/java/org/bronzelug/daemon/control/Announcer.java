package org.bronzelug.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Acknowledged;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.PushObjects;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.daemon.peer.PeerNetwork;

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
        int needed = control.ask(() -> installAndCountNeeded(objects)).join();
        PushObjects push =
                PushObjects.newBuilder().addAllObjects(PeerMessages.toMessages(objects)).build();
        for (int attempt = 0; attempt < TRIES; attempt++) {
            Map<String, String> first = round(push, state.view().peers().keySet(), needed);
            Map<String, String> second = round(push, first.keySet(), needed);
            first.entrySet().retainAll(second.entrySet());
            if (first.size() >= needed) {
                return true;
            }
            pause();
        }
        return false;
    }

    private int installAndCountNeeded(List<VersionedObject> objects) {
        state.install(objects);
        boolean countsItself = state.freshness().isSettled();
        return state.freshness().majority() - (countsItself ? 1 : 0);
    }

    /**
     * One push; ends when enough have confirmed or all have answered or failed.
     *
     * @return the incarnations of the settled VMs that confirmed
     */
    private Map<String, String> round(PushObjects push, Set<String> vms, int needed) {
        Map<String, String> confirmed = new ConcurrentHashMap<>();
        CompletableFuture<Boolean> enough = new CompletableFuture<>();
        List<CompletableFuture<?>> answers = new ArrayList<>();
        for (String vm : vms) {
            ControlView.PeerView peer = state.view().peers().get(vm);
            if (peer == null) {
                continue;
            }
            answers.add(
                    push(peer.peerAddress(), push)
                            .thenAccept(
                                    envelope -> {
                                        note(vm, envelope.getAcknowledged(), confirmed);
                                        if (confirmed.size() >= needed) {
                                            enough.complete(true);
                                        }
                                    })
                            .exceptionally(failure -> null));
        }
        CompletableFuture<?> all =
                CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
        CompletableFuture.anyOf(all, enough).join();
        return new HashMap<>(confirmed);
    }

    private static void note(String vm, Acknowledged answer, Map<String, String> confirmed) {
        if (answer.getSettled()) {
            confirmed.put(vm, answer.getIncarnation());
        }
    }

    private CompletableFuture<Envelope> push(String address, PushObjects push) {
        return peers.exchange(address, Envelope.newBuilder().setPushObjects(push), EXCHANGE_MILLIS);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
