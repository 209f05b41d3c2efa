package org.bronzelug.daemon.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bronzelug.api.peer.Envelope;
import org.bronzelug.api.peer.Former;
import org.bronzelug.api.peer.HandOver;
import org.bronzelug.api.peer.ShareLevels;
import org.bronzelug.core.action.ActionId;
import org.bronzelug.core.action.ActionOutcome;
import org.bronzelug.core.action.ActionRecord;
import org.bronzelug.core.action.OwnershipPeriod;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.claim.ReleasedShare;

/**
 * Translates the state that a stopping VM transfers to its successor to and from {@link HandOver}
 * messages. Stateless and thread-safe.
 */
public final class HandOverMessages {
    private HandOverMessages() {}

    /**
     * Returns one message of a transfer, which may take several.
     *
     * @param previousOwners the sender and the incarnations whose successor it was
     * @param shares the released shares; present only in the last message, which completes the
     *     transfer
     */
    public static Envelope.Builder toMessage(
            List<OwnershipPeriod> previousOwners,
            List<ActionRecord> records,
            Optional<List<ReleasedShare>> shares) {
        HandOver.Builder message = HandOver.newBuilder().setComplete(shares.isPresent());
        previousOwners.forEach(owner -> message.addFormers(toMessage(owner)));
        records.forEach(record -> message.addRecords(toMessage(record)));
        shares.ifPresent(
                released -> released.forEach(share -> message.addShares(toMessage(share))));
        return Envelope.newBuilder().setHandOver(message);
    }

    private static Former toMessage(OwnershipPeriod previousOwner) {
        return Former.newBuilder()
                .setVm(previousOwner.identity().vm())
                .setIncarnation(previousOwner.identity().incarnation())
                .setPeriod(previousOwner.period())
                .build();
    }

    /** Returns the sender, which is stopping, and the incarnations whose successor it was. */
    public static List<OwnershipPeriod> previousOwners(HandOver message) {
        List<OwnershipPeriod> previousOwners = new ArrayList<>();
        for (Former former : message.getFormersList()) {
            MemberIdentity identity = new MemberIdentity(former.getVm(), former.getIncarnation());
            previousOwners.add(new OwnershipPeriod(identity, former.getPeriod()));
        }
        return previousOwners;
    }

    private static ShareLevels toMessage(ReleasedShare share) {
        return ShareLevels.newBuilder()
                .setGroup(share.group())
                .setVersion(share.version())
                .setHolderVm(share.holder().vm())
                .setHolderIncarnation(share.holder().incarnation())
                .putAllTokens(share.tokensByTeam())
                .build();
    }

    private static org.bronzelug.api.peer.ActionRecord toMessage(ActionRecord record) {
        ActionOutcome outcome =
                record.outcome().orElseGet(() -> new ActionOutcome.InDoubt("its VM stopped"));
        return org.bronzelug.api.peer.ActionRecord.newBuilder()
                .setActionId(record.id().toString())
                .setTeam(record.team())
                .setBodyDigest(record.bodyDigest())
                .setAnswer(ActionAnswers.of(outcome, true))
                .build();
    }

    /** Returns the action records of a message. */
    public static List<ActionRecord> records(HandOver message) {
        List<ActionRecord> records = new ArrayList<>();
        for (org.bronzelug.api.peer.ActionRecord record : message.getRecordsList()) {
            Optional<ActionId> id = ActionId.parse(record.getActionId());
            id.ifPresent(
                    parsed ->
                            records.add(
                                    new ActionRecord(
                                            parsed,
                                            record.getTeam(),
                                            record.getBodyDigest(),
                                            Optional.of(
                                                    ActionAnswers.toOutcome(record.getAnswer())))));
        }
        return records;
    }
}
