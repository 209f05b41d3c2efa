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

/** Translates what a stopping VM hands to its heir. Stateless and thread-safe. */
public final class HandOverMessages {
    private HandOverMessages() {}

    /**
     * One part of a hand-over.
     *
     * @param formers the sender and the incarnations that it was the heir of
     * @param shares the released ones; present in the last part only, which completes it
     */
    public static Envelope.Builder toMessage(
            List<OwnershipPeriod> formers,
            List<ActionRecord> records,
            Optional<List<ReleasedShare>> shares) {
        HandOver.Builder message = HandOver.newBuilder().setComplete(shares.isPresent());
        formers.forEach(former -> message.addFormers(toMessage(former)));
        records.forEach(record -> message.addRecords(toMessage(record)));
        shares.ifPresent(
                released -> released.forEach(share -> message.addShares(toMessage(share))));
        return Envelope.newBuilder().setHandOver(message);
    }

    private static Former toMessage(OwnershipPeriod former) {
        return Former.newBuilder()
                .setVm(former.identity().vm())
                .setIncarnation(former.identity().incarnation())
                .setPeriod(former.period())
                .build();
    }

    /** The VM that stops, and those that it was itself the heir of. */
    public static List<OwnershipPeriod> formers(HandOver message) {
        List<OwnershipPeriod> formers = new ArrayList<>();
        for (Former former : message.getFormersList()) {
            MemberIdentity identity = new MemberIdentity(former.getVm(), former.getIncarnation());
            formers.add(new OwnershipPeriod(identity, former.getPeriod()));
        }
        return formers;
    }

    private static ShareLevels toMessage(ReleasedShare share) {
        return ShareLevels.newBuilder()
                .setGroup(share.group())
                .setVersion(share.version())
                .setHolderVm(share.holder().vm())
                .setHolderIncarnation(share.holder().incarnation())
                .putAllTokens(share.levels())
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

    /** The records of a message. */
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
