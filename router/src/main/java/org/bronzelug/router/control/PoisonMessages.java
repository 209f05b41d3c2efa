package org.bronzelug.router.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.PartSurvival;
import org.bronzelug.api.fleet.v1.PromptPart;
import org.bronzelug.core.poison.EndpointCrash;
import org.bronzelug.core.poison.EndpointStart;
import org.bronzelug.core.poison.Involvement;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.poison.PoisonReport;
import org.bronzelug.core.poison.QuarantinedParts;

/**
 * Encodes what VMs tell each other of crashes and parts. Times are sent as ages, since VMs have
 * different clocks. Stateless and thread-safe.
 */
final class PoisonMessages {
    /** Bounds a datagram; the requests that had begun come first. */
    private static final int MAXIMUM_PARTS = 64;

    private static final int MAXIMUM_CRASHES = 32;

    private PoisonMessages() {}

    static org.bronzelug.api.fleet.v1.PoisonReport encode(PoisonReport report, long nowNanos) {
        org.bronzelug.api.fleet.v1.PoisonReport.Builder message =
                org.bronzelug.api.fleet.v1.PoisonReport.newBuilder();
        report.crashes().stream()
                .limit(MAXIMUM_CRASHES)
                .forEach(crash -> message.addCrashes(encode(crash, nowNanos)));
        report.survivals().stream()
                .limit(MAXIMUM_PARTS)
                .forEach(
                        survival ->
                                message.addSurvivals(
                                        PartSurvival.newBuilder()
                                                .setPart(encode(survival.part()))
                                                .setSoftwareVersion(survival.softwareVersion())));
        report.waiting().stream()
                .limit(MAXIMUM_PARTS)
                .forEach(part -> message.addWaiting(encode(part)));
        report.begun().stream()
                .limit(MAXIMUM_PARTS)
                .forEach(part -> message.addBegun(encode(part)));
        return message.build();
    }

    private static org.bronzelug.api.fleet.v1.EndpointCrash encode(
            EndpointCrash crash, long nowNanos) {
        org.bronzelug.api.fleet.v1.EndpointCrash.Builder message =
                org.bronzelug.api.fleet.v1.EndpointCrash.newBuilder()
                        .setEndpoint(crash.start().id())
                        .setBornMillis(crash.start().bornMillis())
                        .setPool(crash.pool())
                        .setSoftwareVersion(crash.softwareVersion())
                        .setAgeMillis(millis(nowNanos - crash.atNanos()));
        crash.suspects().entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .limit(MAXIMUM_PARTS)
                .forEach(
                        suspect -> {
                            String id = suspect.getKey().id();
                            Involvement involvement = suspect.getValue();
                            if (involvement == Involvement.BEGUN) {
                                message.addBegunParts(id);
                            } else if (involvement == Involvement.RESPONDING) {
                                message.addRespondingParts(id);
                            } else {
                                message.addWaitingParts(id);
                            }
                        });
        crash.requests().stream()
                .limit(MAXIMUM_PARTS)
                .forEach(request -> message.addRequests(request.id()));
        return message.build();
    }

    private static PromptPart encode(PartKey part) {
        return PromptPart.newBuilder().setPool(part.pool()).setId(part.id()).build();
    }

    static List<org.bronzelug.api.fleet.v1.QuarantinedParts> encode(
            Collection<QuarantinedParts> quarantines, long nowNanos) {
        return quarantines.stream().map(entry -> encode(entry, nowNanos)).toList();
    }

    private static org.bronzelug.api.fleet.v1.QuarantinedParts encode(
            QuarantinedParts entry, long nowNanos) {
        return org.bronzelug.api.fleet.v1.QuarantinedParts.newBuilder()
                .addAllParts(entry.parts().stream().map(PoisonMessages::encode).toList())
                .addAllSoftwareVersions(entry.softwareVersions())
                .setAgeMillis(millis(nowNanos - entry.sinceNanos()))
                .setRemainingMillis(millis(entry.untilNanos() - nowNanos))
                .setTimes(entry.times())
                .setConfirmed(entry.confirmed())
                .build();
    }

    static PoisonReport decode(org.bronzelug.api.fleet.v1.PoisonReport message, long nowNanos) {
        return new PoisonReport(
                message.getCrashesList().stream().map(crash -> decode(crash, nowNanos)).toList(),
                message.getSurvivalsList().stream()
                        .map(
                                survival ->
                                        new PoisonReport.Survival(
                                                decode(survival.getPart()),
                                                survival.getSoftwareVersion()))
                        .toList(),
                parts(message.getWaitingList()),
                parts(message.getBegunList()),
                List.of());
    }

    private static EndpointCrash decode(
            org.bronzelug.api.fleet.v1.EndpointCrash message, long nowNanos) {
        Map<PartKey, Involvement> suspects = new HashMap<>();
        String pool = message.getPool();
        add(suspects, pool, message.getWaitingPartsList(), Involvement.WAITING);
        add(suspects, pool, message.getBegunPartsList(), Involvement.BEGUN);
        add(suspects, pool, message.getRespondingPartsList(), Involvement.RESPONDING);
        Set<PartKey> requests = new HashSet<>();
        message.getRequestsList().forEach(id -> requests.add(PartKey.of(pool, id)));
        return new EndpointCrash(
                new EndpointStart(message.getEndpoint(), message.getBornMillis()),
                pool,
                message.getSoftwareVersion(),
                nowNanos - nanos(message.getAgeMillis()),
                suspects,
                requests);
    }

    private static void add(
            Map<PartKey, Involvement> suspects,
            String pool,
            List<String> ids,
            Involvement involvement) {
        ids.forEach(id -> suspects.put(PartKey.of(pool, id), involvement));
    }

    private static PartKey decode(PromptPart part) {
        return PartKey.of(part.getPool(), part.getId());
    }

    private static Set<PartKey> parts(List<PromptPart> messages) {
        Set<PartKey> parts = new HashSet<>();
        messages.forEach(part -> parts.add(decode(part)));
        return parts;
    }

    static List<QuarantinedParts> decode(
            List<org.bronzelug.api.fleet.v1.QuarantinedParts> messages, long nowNanos) {
        return messages.stream()
                .map(
                        message ->
                                new QuarantinedParts(
                                        parts(message.getPartsList()),
                                        Set.copyOf(message.getSoftwareVersionsList()),
                                        nowNanos - nanos(message.getAgeMillis()),
                                        nowNanos + nanos(message.getRemainingMillis()),
                                        message.getTimes(),
                                        message.getConfirmed()))
                .toList();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
