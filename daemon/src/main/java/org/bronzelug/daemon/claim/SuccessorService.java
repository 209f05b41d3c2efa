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
import org.bronzelug.daemon.action.ActionBook;
import org.bronzelug.daemon.action.HandOverMessages;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;
import org.bronzelug.daemon.peer.PeerNetwork;

/**
 * Takes over the action records and shares of a VM that stops gracefully.
 *
 * <p>The shares' objects still name the former holder; this VM uses them in its stead as long as
 * that version is in force, so no platform call is needed and a hand-over works in an outage.
 * Thread-safe.
 */
@Singleton
public final class SuccessorService {
    private final ControlThread control;
    private final ControlState state;
    private final ActionBook actions;

    @Inject
    public SuccessorService(
            ControlThread control, ControlState state, ActionBook actions, PeerNetwork peers) {
        this.control = control;
        this.state = state;
        this.actions = actions;
        peers.handle(Envelope.BodyCase.HAND_OVER, this::take);
    }

    private CompletableFuture<Envelope.Builder> take(Envelope envelope) {
        HandOver message = envelope.getHandOver();
        return control.ask(
                () -> {
                    List<OwnershipPeriod> formers = HandOverMessages.formers(message);
                    actions.adopt(
                            formers, HandOverMessages.records(message), message.getComplete());
                    formers.forEach(former -> state.inherit(former.identity()));
                    long now = System.nanoTime();
                    for (ShareLevels share : message.getSharesList()) {
                        state.shares()
                                .inherit(
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
