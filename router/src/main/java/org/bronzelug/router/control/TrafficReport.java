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
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.RunnerLoad;
import org.bronzelug.core.poison.QuarantinedParts;
import org.bronzelug.router.stream.RecentVersions;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * A snapshot of the traffic thread's state that the control thread sends to peers. Immutable.
 *
 * @param teams tokens admitted by this VM, by team
 * @param endpoints requests in flight at each endpoint, with its speed if measured recently
 * @param weights versions that responses of runners showed and the platform's entries do not show
 *     yet
 * @param reads prompts recently sent to runners
 * @param suspects ids of endpoints that recently failed or are silent
 * @param runnersWithUnknownWeights ids of runners that rejected a request because they do not have
 *     the weights that this VM expected
 * @param contendedTeams names of teams near their limit
 * @param limits usage of endpoints that advertise a limit
 * @param contendedLimits those of the limits whose usage by this VM has changed since the last
 *     report
 * @param lostPaths ids of the endpoints that this VM reaches through other VMs only
 * @param rollouts what this VM has seen of each rollout of a software version
 * @param recentVersions the software versions that pools with resumable streams have had lately
 * @param streamOrigins number of streams whose origins this VM knows
 * @param quarantines the parts of prompts under quarantine
 * @param adaptivePools names of the pools in which decisions adapt to the measured load
 */
record TrafficReport(
        List<TeamUse> teams,
        List<EndpointUse> endpoints,
        List<EndpointWeights> weights,
        List<PrefixRead> reads,
        Set<String> suspects,
        List<String> runnersWithUnknownWeights,
        Set<String> contendedTeams,
        List<EndpointLimitUse> limits,
        List<EndpointLimitUse> contendedLimits,
        Set<String> lostPaths,
        List<RolloutUse> rollouts,
        RecentVersions recentVersions,
        int streamOrigins,
        List<QuarantinedParts> quarantines,
        Set<String> adaptivePools) {
    /** Returns the report before the traffic thread has sent any. */
    static TrafficReport none() {
        return new TrafficReport(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Set.of(),
                List.of(),
                Set.of(),
                List.of(),
                List.of(),
                Set.of(),
                List.of(),
                RecentVersions.none(),
                0,
                List.of(),
                Set.of());
    }

    /** Returns whether this VM has no requests and had none recently. */
    boolean isQuiet() {
        return endpoints.isEmpty()
                && reads.isEmpty()
                && contendedTeams.isEmpty()
                && rollouts.isEmpty();
    }

    /** Returns a snapshot of the state; call on the traffic thread. */
    static TrafficReport of(TrafficState state) {
        long nowNanos = System.nanoTime();
        List<EndpointUse> endpoints =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.ownRequests() > 0)
                        .map(endpoint -> usage(endpoint, nowNanos))
                        .toList();
        List<EndpointWeights> weights =
                state.endpoints().all().stream()
                        .flatMap(endpoint -> endpoint.weightsAheadOfEntry().stream())
                        .toList();
        List<String> runnersWithUnknownWeights =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.areWeightsUnknown(nowNanos))
                        .map(endpoint -> endpoint.entry().id())
                        .toList();
        List<PrefixRead> reads = state.choice().readsToReport(nowNanos);
        Set<String> suspects =
                state.endpoints().all().stream()
                        .filter(endpoint -> endpoint.isSuspect(nowNanos))
                        .map(endpoint -> endpoint.entry().id())
                        .collect(Collectors.toSet());
        Set<String> contendedTeams = state.rates().contended(nowNanos);
        List<EndpointLimitUse> limits = new ArrayList<>();
        List<EndpointLimitUse> contendedLimits = new ArrayList<>();
        for (EndpointState endpoint : state.endpoints().all()) {
            endpoint.limit()
                    .ifPresent(
                            limit -> {
                                EndpointLimitUse usage = limitUsage(endpoint, limit, nowNanos);
                                limits.add(usage);
                                if (limit.hasUsageChanged()) {
                                    contendedLimits.add(usage);
                                }
                            });
        }
        return new TrafficReport(
                teams(state, nowNanos),
                endpoints,
                weights,
                reads,
                suspects,
                runnersWithUnknownWeights,
                contendedTeams,
                limits,
                contendedLimits,
                state.endpoints().paths().lostEndpoints(),
                state.rollouts().report(),
                state.origins().versions().recent(),
                state.origins().size(),
                state.poison().quarantines(),
                state.endpoints().adaptivePools().names());
    }

    private static List<TeamUse> teams(TrafficState state, long nowNanos) {
        List<TeamUse> teams = new ArrayList<>();
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
        return teams;
    }

    private static EndpointLimitUse limitUsage(
            EndpointState endpoint, EndpointLimit limit, long nowNanos) {
        EndpointLimit.Usage ownUsage = limit.usage(nowNanos);
        EndpointLimitUse.Builder usage =
                EndpointLimitUse.newBuilder()
                        .setEndpoint(endpoint.entry().id())
                        .setBornMillis(endpoint.entry().bornMillis())
                        .setSeenAgeMillis(
                                TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.observedNanos()))
                        .setAdmitted(ownUsage.admitted())
                        .setOffered(ownUsage.offered())
                        .setLevel(ownUsage.level());
        if (limit.limit() instanceof AdvertisedLimit.Rate rate) {
            usage.setNamed(true).setRequestsPerSecond(rate.requestsPerSecond());
        }
        return usage.build();
    }

    private static EndpointUse usage(EndpointState endpoint, long nowNanos) {
        RunnerLoad load = endpoint.load().load(endpoint.entry().id(), "");
        EndpointUse.Builder usage =
                EndpointUse.newBuilder()
                        .setEndpoint(endpoint.entry().id())
                        .setQueuedPrefillTokens((int) load.queuedPrefillTokens())
                        .setRequests(endpoint.ownRequests());
        endpoint.capacity()
                .report(nowNanos)
                .ifPresent(
                        report ->
                                usage.setSpeedPercent(report.percent())
                                        .setSpeedAgeMillis(report.ageMillis()));
        return usage.build();
    }
}
