package org.bronzelug.daemon.control;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.peer.MemberAge;
import org.bronzelug.api.peer.PlatformObject;
import org.bronzelug.api.peer.ProbeAnswer;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.core.membership.MemberIndex;
import org.bronzelug.core.membership.PackedAges;
import org.bronzelug.core.membership.ProbeReport;

/**
 * Translates between the messages of the peer protocol and the types of the core module.
 *
 * <p>Ages are rounded up to whole milliseconds, so that information never appears newer than it is.
 * Stateless and thread-safe.
 */
final class PeerMessages {
    private PeerMessages() {}

    /** Returns the answer to a peer that has the same member index: one byte for each member. */
    static ProbeAnswer.Builder packedAnswer(
            ProbeReport report, long digest, MemberIndex memberIndex) {
        PackedAges packed = PackedAges.pack(memberIndex, report.members());
        ProbeReport individualReport =
                new ProbeReport(
                        report.peer(),
                        report.caughtUp(),
                        report.draining(),
                        report.platformAgeNanos(),
                        packed.individualAges());
        return answer(individualReport, digest).setPackedAges(ByteString.copyFrom(packed.ages()));
    }

    static ProbeAnswer.Builder answer(ProbeReport report, long digest) {
        ProbeAnswer.Builder answer =
                ProbeAnswer.newBuilder()
                        .setVm(report.peer().vm())
                        .setIncarnation(report.peer().incarnation())
                        .setDigest(digest)
                        .setSettled(report.caughtUp())
                        .setDraining(report.draining());
        report.platformAgeNanos().ifPresent(age -> answer.setPlatformAgeMs(ceilMillis(age)));
        for (ProbeReport.MemberAge member : report.members()) {
            MemberAge.Builder age =
                    MemberAge.newBuilder()
                            .setVm(member.identity().vm())
                            .setIncarnation(member.identity().incarnation())
                            .setHeardAgeMs((int) ceilMillis(member.lastSeenAgeNanos()))
                            .setDraining(member.draining());
            member.syncedAgeNanos()
                    .ifPresent(synced -> age.setCoveredAgeMs((int) ceilMillis(synced)));
            answer.addMembers(age);
        }
        return answer;
    }

    /**
     * Returns the report in a peer's answer.
     *
     * @param memberIndex the member index whose digest the probe carried
     */
    static ProbeReport report(ProbeAnswer answer, MemberIndex memberIndex) {
        List<ProbeReport.MemberAge> members =
                PackedAges.unpack(memberIndex, answer.getPackedAges().toByteArray());
        for (MemberAge member : answer.getMembersList()) {
            OptionalLong syncedAge =
                    member.hasCoveredAgeMs()
                            ? OptionalLong.of(nanos(member.getCoveredAgeMs()))
                            : OptionalLong.empty();
            members.add(
                    new ProbeReport.MemberAge(
                            new MemberIdentity(member.getVm(), member.getIncarnation()),
                            nanos(member.getHeardAgeMs()),
                            syncedAge,
                            member.getDraining()));
        }
        OptionalLong platformAge =
                answer.hasPlatformAgeMs()
                        ? OptionalLong.of(nanos(answer.getPlatformAgeMs()))
                        : OptionalLong.empty();
        return new ProbeReport(
                new MemberIdentity(answer.getVm(), answer.getIncarnation()),
                answer.getSettled(),
                answer.getDraining(),
                platformAge,
                members);
    }

    static List<PlatformObject> toMessages(Collection<VersionedObject> objects) {
        List<PlatformObject> messages = new ArrayList<>();
        for (VersionedObject object : objects) {
            messages.add(
                    PlatformObject.newBuilder()
                            .setKey(object.key())
                            .setVersion(object.version())
                            .setValue(ByteString.copyFrom(object.value()))
                            .build());
        }
        return messages;
    }

    static List<VersionedObject> toObjects(Collection<PlatformObject> messages) {
        List<VersionedObject> objects = new ArrayList<>();
        for (PlatformObject message : messages) {
            byte[] value = message.getValue().toByteArray();
            objects.add(new VersionedObject(message.getKey(), message.getVersion(), value));
        }
        return objects;
    }

    private static long ceilMillis(long nanos) {
        return (Math.max(0, nanos) + 999_999) / 1_000_000;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
