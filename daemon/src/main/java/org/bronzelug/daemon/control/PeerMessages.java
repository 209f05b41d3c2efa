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
 * Translates between the messages of the peer protocol and the core's terms.
 *
 * <p>Ages are rounded up to milliseconds, so that knowledge never looks younger than it is.
 * Stateless and thread-safe.
 */
final class PeerMessages {
    private PeerMessages() {}

    /** The answer to a peer that has the same roll: one byte a member. */
    static ProbeAnswer.Builder packedAnswer(ProbeReport report, long digest, MemberIndex roll) {
        PackedAges packed = PackedAges.pack(roll, report.members());
        ProbeReport named =
                new ProbeReport(
                        report.peer(),
                        report.settled(),
                        report.draining(),
                        report.platformAgeNanos(),
                        packed.named());
        return answer(named, digest).setPackedAges(ByteString.copyFrom(packed.ages()));
    }

    static ProbeAnswer.Builder answer(ProbeReport report, long digest) {
        ProbeAnswer.Builder answer =
                ProbeAnswer.newBuilder()
                        .setVm(report.peer().vm())
                        .setIncarnation(report.peer().incarnation())
                        .setDigest(digest)
                        .setSettled(report.settled())
                        .setDraining(report.draining());
        report.platformAgeNanos().ifPresent(age -> answer.setPlatformAgeMs(millisUp(age)));
        for (ProbeReport.MemberAge member : report.members()) {
            MemberAge.Builder age =
                    MemberAge.newBuilder()
                            .setVm(member.identity().vm())
                            .setIncarnation(member.identity().incarnation())
                            .setHeardAgeMs((int) millisUp(member.lastSeenAgeNanos()))
                            .setDraining(member.draining());
            member.syncedAgeNanos()
                    .ifPresent(covered -> age.setCoveredAgeMs((int) millisUp(covered)));
            answer.addMembers(age);
        }
        return answer;
    }

    /**
     * Reads a report.
     *
     * @param roll whose digest the probe carried
     */
    static ProbeReport report(ProbeAnswer answer, MemberIndex roll) {
        List<ProbeReport.MemberAge> members =
                PackedAges.unpack(roll, answer.getPackedAges().toByteArray());
        for (MemberAge member : answer.getMembersList()) {
            OptionalLong covered =
                    member.hasCoveredAgeMs()
                            ? OptionalLong.of(nanos(member.getCoveredAgeMs()))
                            : OptionalLong.empty();
            members.add(
                    new ProbeReport.MemberAge(
                            new MemberIdentity(member.getVm(), member.getIncarnation()),
                            nanos(member.getHeardAgeMs()),
                            covered,
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

    private static long millisUp(long nanos) {
        return (Math.max(0, nanos) + 999_999) / 1_000_000;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
