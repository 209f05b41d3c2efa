package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.bronzelug.api.fleet.v1.EndpointLimitUse;
import org.bronzelug.api.fleet.v1.EndpointUse;
import org.bronzelug.api.fleet.v1.EndpointWeights;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.RunnerLoad;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * What the traffic thread tells the control thread, for the peers. Immutable.
 *
 * @param teams tokens admitted
 * @param endpoints requests under way
 * @param weights that runners' answers showed
 * @param reads prompts sent to runners lately
 * @param suspects ids of endpoints that failed lately or are silent
 * @param doubted ids of runners that refused the weights believed of them
 * @param pressed names of teams near their limit
 * @param limits endpoints that have named a limit
 * @param contendedLimits those of them that this VM has sent requests to since the report before
 */
record TrafficReport(
        List<TeamUse> teams,
        List<EndpointUse> endpoints,
        List<EndpointWeights> weights,
        List<PrefixRead> reads,
        Set<String> suspects,
        List<String> doubted,
        Set<String> pressed,
        List<EndpointLimitUse> limits,
        List<EndpointLimitUse> contendedLimits) {
    /** Before anything is known. */
    static TrafficReport none() {
        return new TrafficReport(
                List.of(), List.of(), List.of(), List.of(), Set.of(), List.of(), Set.of(),
                List.of(), List.of());
    }

    /** Whether this VM has no requests, and had none lately. */
    boolean isQuiet() {
        return endpoints.isEmpty() && reads.isEmpty() && pressed.isEmpty();
    }

    /** Reads the state; call on the traffic thread. */
    static TrafficReport of(TrafficState state) {
        List<TeamUse> teams = new ArrayList<>();
        long nowNanos = System.nanoTime();
        state.rates()
                .forEach(
                        (team, bucket) ->
                                teams.add(
                                        TeamUse.newBuilder()
                                                .setTeam(team)
                                                .setAdmittedTokens(bucket.admitted())
                                                .setOfferedTokens(bucket.offered())
                                                .setLevelTokens((long) bucket.level(nowNanos))
                                                .build()));
        List<EndpointUse> endpoints =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.ownRequests() > 0)
                        .map(TrafficReport::use)
                        .toList();
        List<EndpointWeights> weights =
                state.endpoints().all().stream()
                        .flatMap(endpoint -> endpoint.weightsAheadOfEntry().stream())
                        .toList();
        List<String> doubted =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.areWeightsUnknown(nowNanos))
                        .map(endpoint -> endpoint.entry().id())
                        .toList();
        List<PrefixRead> reads = state.choice().readsToTell(nowNanos);
        Set<String> suspects =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.isSuspect(nowNanos))
                        .map(endpoint -> endpoint.entry().id())
                        .collect(Collectors.toSet());
        Set<String> pressed = state.rates().pressed(nowNanos);
        List<EndpointLimitUse> limits = new ArrayList<>();
        List<EndpointLimitUse> contendedLimits = new ArrayList<>();
        for (EndpointState endpoint : state.endpoints().all()) {
            endpoint.limit()
                    .ifPresent(
                            limit -> {
                                EndpointLimitUse use = limitUse(endpoint, limit, nowNanos);
                                limits.add(use);
                                if (limit.hasUsageChanged()) {
                                    contendedLimits.add(use);
                                }
                            });
        }
        return new TrafficReport(
                teams,
                endpoints,
                weights,
                reads,
                suspects,
                doubted,
                pressed,
                limits,
                contendedLimits);
    }

    private static EndpointLimitUse limitUse(
            EndpointState endpoint, EndpointLimit limit, long nowNanos) {
        EndpointLimit.Count count = limit.count(nowNanos);
        EndpointLimitUse.Builder use =
                EndpointLimitUse.newBuilder()
                        .setEndpoint(endpoint.entry().id())
                        .setBornMillis(endpoint.entry().bornMillis())
                        .setSeenAgeMillis(
                                TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.observedNanos()))
                        .setAdmitted(count.admitted())
                        .setOffered(count.offered())
                        .setLevel(count.level());
        if (limit.limit() instanceof AdvertisedLimit.Rate rate) {
            use.setNamed(true).setRequestsPerSecond(rate.requestsPerSecond());
        }
        return use.build();
    }

    private static EndpointUse use(EndpointState endpoint) {
        RunnerLoad load = endpoint.load().load(endpoint.entry().id(), "");
        return EndpointUse.newBuilder()
                .setEndpoint(endpoint.entry().id())
                .setQueuedPrefillTokens((int) load.queuedPrefillTokens())
                .setRequests(endpoint.ownRequests())
                .build();
    }
}
