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
import org.bronzelug.daemon.action.ActionBook;
import org.bronzelug.daemon.action.HandOverMessages;
import org.bronzelug.daemon.claim.ReleasedShare;
import org.bronzelug.daemon.claim.ShareKeeper;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.peer.PeerNetwork;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * The graceful stop: callers are steered away, open requests end, and an heir takes over what only
 * this VM knows.
 *
 * <p>The order matters. New requests are refused before the open ones are counted, so the last one
 * ends before the hand-over; and the shares and records are released before they are sent, so this
 * VM and its heir never both use them. Called by one thread.
 */
@Singleton
public final class Drain {
    private static final long HAND_OVER_MILLIS = 1_500;
    private static final int RECORDS_A_MESSAGE = 500;

    private final Settings settings;
    private final ControlThread control;
    private final ControlState state;
    private final DrainGate gate;
    private final ActionBook actions;
    private final ShareKeeper shares;
    private final PeerNetwork peers;

    @Inject
    public Drain(
            Settings settings,
            ControlThread control,
            ControlState state,
            DrainGate gate,
            ActionBook actions,
            ShareKeeper shares,
            PeerNetwork peers) {
        this.settings = settings;
        this.control = control;
        this.state = state;
        this.gate = gate;
        this.actions = actions;
        this.shares = shares;
        this.peers = peers;
    }

    /** Drains this VM; afterwards nothing is lost by stopping it. */
    public void run() throws InterruptedException {
        EventLog.info(LogEvent.DAEMON_DRAINING, "open requests: " + gate.open());
        control.run(state::startDraining);
        if (!state.view().peers().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(settings.limits().steerMillis());
        }
        gate.close();
        long limit = TimeUnit.MILLISECONDS.toNanos(settings.limits().drainMillis());
        if (!gate.awaitIdle(limit)) {
            EventLog.warn(LogEvent.DRAIN_INCOMPLETE, "open requests: " + gate.open());
        }
        handOver();
    }

    private void handOver() {
        List<ActionRecord> records = actions.closeAndHandOver();
        List<ReleasedShare> released = shares.releaseAll();
        for (String address : heirs()) {
            if (send(address, records, released)) {
                EventLog.info(
                        LogEvent.HANDED_OVER,
                        "heir "
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
     * The VMs to try, those of the own availability zone first. After one may have taken the
     * hand-over without our seeing its answer, the next must not be tried: there must be one heir.
     */
    private List<String> heirs() {
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
            int end = Math.min(records.size(), sent + RECORDS_A_MESSAGE);
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
        return peers.exchange(address, message, HAND_OVER_MILLIS)
                .handle((envelope, failure) -> failure == null)
                .join();
    }
}
