package org.bronzelug.daemon.claim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.api.peer.Acknowledged;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.HandOver;
import org.bronzelug.api.peer.ShareLevels;
import org.bronzelug.core.action.OwnershipPeriod;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.action.HandOverMessages;
import org.bronzelug.daemon.action.SharedActionLedger;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.peer.PeerNetwork;

/**
 * Receives the action records and rate shares of a VM that shuts down gracefully.
 *
 * <p>The shares' objects still name the previous holder. This VM uses the shares in its place as
 * long as that version of the object is in force, so a transfer needs no platform call and also
 * works during a platform outage. Thread-safe.
 */
@Singleton
public final class SuccessorService {
    private final ControlThread control;
    private final ControlState state;
    private final SharedActionLedger actions;

    @Inject
    public SuccessorService(
            ControlThread control,
            ControlState state,
            SharedActionLedger actions,
            PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.actions = actions;
        peers.setHandler(Envelope.BodyCase.HAND_OVER, this::receive);
    }

    private CompletableFuture<Envelope.Builder> receive(Envelope envelope) {
        HandOver message = envelope.getHandOver();
        return control.submit(
                () -> {
                    List<OwnershipPeriod> previousOwners = HandOverMessages.previousOwners(message);
                    actions.takeOwnership(
                            previousOwners,
                            HandOverMessages.records(message),
                            message.getComplete());
                    previousOwners.forEach(owner -> state.takeOwnership(owner.identity()));
                    long now = System.nanoTime();
                    for (ShareLevels share : message.getSharesList()) {
                        state.shares()
                                .acceptTransfer(
                                        share.getGroup(),
                                        share.getVersion(),
                                        new MemberIdentity(
                                                share.getHolderVm(), share.getHolderIncarnation()),
                                        share.getTokensMap(),
                                        state.catalog().rates(),
                                        now);
                    }
                    return Envelope.newBuilder().setAcknowledged(Acknowledged.getDefaultInstance());
                });
    }
}
