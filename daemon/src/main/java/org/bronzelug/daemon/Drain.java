package org.bronzelug.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.core.action.ActionRecord;
import org.bronzelug.core.drain.DrainGate;
import org.bronzelug.daemon.action.HandOverMessages;
import org.bronzelug.daemon.action.SharedActionLedger;
import org.bronzelug.daemon.claim.ReleasedShare;
import org.bronzelug.daemon.claim.ShareService;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The graceful shutdown: steers callers to other VMs, waits until the requests in progress have
 * ended, and transfers the state that only this VM has (action records and rate shares) to a
 * successor.
 *
 * <p>The order of the steps matters. The VM rejects new requests before it waits for those in
 * progress, so the last request ends before the transfer. It stops using the shares and records
 * before it sends them, so this VM and its successor never both use them. Called by one thread.
 */
@Singleton
public final class Drain {
    private static final long TRANSFER_TIMEOUT_MILLIS = 1_500;
    private static final int RECORDS_PER_MESSAGE = 500;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final DrainGate gate;
    private final SharedActionLedger actions;
    private final ShareService shares;
    private final PeerNetwork peers;

    @Inject
    public Drain(
            Settings settings,
            ControlThread control,
            ControlState state,
            DrainGate gate,
            SharedActionLedger actions,
            ShareService shares,
            PeerNetwork peers) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.gate = gate;
        this.actions = actions;
        this.shares = shares;
        this.peers = peers;
    }

    /** Drains this VM. Afterwards it can stop without losing requests or state. */
    public void run() throws InterruptedException {
        EventLog.info(LogEvent.DAEMON_DRAINING, "open requests: " + gate.requestsInProgress());
        control.run(state::startDraining);
        if (!state.view().peers().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(settings.limits().steerMillis());
        }
        gate.close();
        long drainLimitNanos = TimeUnit.MILLISECONDS.toNanos(settings.limits().drainMillis());
        if (!gate.awaitIdle(drainLimitNanos)) {
            EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "open requests: " + gate.requestsInProgress());
        }
        transferToSuccessor();
    }

    private void transferToSuccessor() {
        List<ActionRecord> records = actions.closeForTransfer();
        List<ReleasedShare> released = shares.releaseAll();
        for (String address : successorCandidates()) {
            if (send(address, records, released)) {
                EventLog.info(
                        LogEvent.HANDED_OVER,
                        "successor "
                                + address
                                + ", records: "
                                + records.size()
                                + ", groups: "
                                + released.size());
                return;
            }
        }
        EventLog.warn(LogEvent.HAND_OVER_FAILED, "records: " + records.size());
    }

    /**
     * Returns a list of the one VM to transfer to, empty if none is available; a VM of the same
     * availability zone is preferred. Only one VM is tried: it may have received the transfer even
     * if its answer is lost, and there must not be two successors.
     */
    private List<String> successorCandidates() {
        List<ControlView.PeerView> candidates = new ArrayList<>();
        for (ControlView.PeerView peer : state.view().peers().values()) {
            if (peer.live() && !peer.draining()) {
                candidates.add(peer);
            }
        }
        candidates.sort(
                Comparator.comparing(
                        peer -> !peer.availabilityZone().equals(settings.availabilityZone())));
        return candidates.stream().map(ControlView.PeerView::peerAddress).limit(1).toList();
    }

    private boolean send(String address, List<ActionRecord> records, List<ReleasedShare> released) {
        int sent = 0;
        do {
            int end = Math.min(records.size(), sent + RECORDS_PER_MESSAGE);
            boolean last = end == records.size();
            Envelope.Builder message =
                    HandOverMessages.toMessage(
                            actions.ownershipPeriods(),
                            records.subList(sent, end),
                            last ? Optional.of(released) : Optional.empty());
            if (!exchange(address, message)) {
                return false;
            }
            sent = end;
        } while (sent < records.size());
        return true;
    }

    private boolean exchange(String address, Envelope.Builder message) {
        return peers.exchange(address, message, TRANSFER_TIMEOUT_MILLIS)
                .handle((envelope, failure) -> failure == null)
                .join();
    }
}
