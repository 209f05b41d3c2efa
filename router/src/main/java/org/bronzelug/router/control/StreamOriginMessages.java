package org.bronzelug.router.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.ListedVersion;
import org.bronzelug.api.fleet.v1.StreamOriginAnswer;
import org.bronzelug.api.fleet.v1.StreamOriginRecord;
import org.bronzelug.api.fleet.v1.VersionWatch;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.core.stream.VersionHistory;
import org.bronzelug.router.stream.PoolVersions;

/** Encodes and decodes what VMs tell each other about the origins of streams. Stateless. */
final class StreamOriginMessages {
    private StreamOriginMessages() {}

    static StreamOriginAnswer encode(StreamKey key, OriginEvidence.Answer known, long nowNanos) {
        StreamOriginAnswer.Builder answer =
                StreamOriginAnswer.newBuilder()
                        .setKeyHigh(key.high())
                        .setKeyLow(key.low())
                        .addAllSoftwareVersions(known.versions())
                        .setWatched(known.watched());
        known.origin().ifPresent(origin -> answer.setOrigin(encode(origin, nowNanos)));
        return answer.build();
    }

    static List<VersionHistory.ListedVersion> decode(VersionWatch watch) {
        return watch.getVersionsList().stream()
                .map(
                        version ->
                                new VersionHistory.ListedVersion(
                                        version.getPool(),
                                        version.getSoftwareVersion(),
                                        nanos(version.getAgeMillis())))
                .toList();
    }

    static OriginEvidence.Answer decode(StreamOriginAnswer answer, long nowNanos) {
        Optional<StreamOrigin> origin =
                answer.hasOrigin()
                        ? Optional.of(decode(answer.getOrigin(), nowNanos))
                        : Optional.empty();
        Set<String> versions = new HashSet<>(answer.getSoftwareVersionsList());
        return new OriginEvidence.Answer(origin, versions, answer.getWatched());
    }

    static StreamOrigin decode(StreamOriginRecord kept, long nowNanos) {
        return new StreamOrigin(
                new StreamKey(kept.getKeyHigh(), kept.getKeyLow()),
                kept.getPool(),
                kept.getSoftwareVersion(),
                nowNanos + nanos(kept.getRemainingMillis()));
    }

    static StreamOriginRecord encode(StreamOrigin origin, long nowNanos) {
        return StreamOriginRecord.newBuilder()
                .setKeyHigh(origin.key().high())
                .setKeyLow(origin.key().low())
                .setPool(origin.pool())
                .setSoftwareVersion(origin.softwareVersion())
                .setRemainingMillis(millis(origin.untilNanos() - nowNanos))
                .build();
    }

    static VersionWatch encode(PoolVersions versions, long nowNanos) {
        VersionWatch.Builder watch =
                VersionWatch.newBuilder().setWatchedMillis(millis(versions.watchedNanos()));
        for (VersionHistory.ListedVersion version : versions.history().listedVersions(nowNanos)) {
            watch.addVersions(
                    ListedVersion.newBuilder()
                            .setPool(version.pool())
                            .setSoftwareVersion(version.softwareVersion())
                            .setAgeMillis(millis(version.ageNanos())));
        }
        return watch.build();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
