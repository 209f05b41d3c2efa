package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointLimitUse;
import org.bronzelug.api.fleet.v1.EndpointUse;
import org.bronzelug.api.fleet.v1.OrderUnderWay;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.api.fleet.v1.VmState;
import org.bronzelug.core.capacity.SpeedReports;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.limit.PeerBucketUsage;
import org.bronzelug.core.path.RelayPeer;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.rollout.RolloutService;
import org.bronzelug.router.traffic.PeerEndpointUsage;
import org.bronzelug.router.traffic.PeerLimitUsage;
import org.bronzelug.router.traffic.PeerTeamUsage;
import org.bronzelug.router.traffic.TrafficUpdate;

/**
 * Builds the updates for the traffic thread from the platform's objects and the state of the other
 * VMs.
 *
 * <p>Invariant: the usage and the prefix reads of a peer are in the first update after its state
 * update was received, and in no later one until the next is received. Confined to the control
 * thread.
 */
final class FleetUpdates {
    /**
     * VMs that start within this time of each other know the same usage from before their start.
     */
    private static final long SAME_START_MILLIS = 2_000;

    private final ControlState state;
    private final MemberTable members;
    private final OrderService orders;
    private final RolloutService rollouts;
    private final long startNanos;
    private long lastUpdateNanos;

    /**
     * @param startNanos when this VM started, by its monotonic clock
     */
    FleetUpdates(
            ControlState state,
            MemberTable members,
            OrderService orders,
            RolloutService rollouts,
            long startNanos) {
        this.state = state;
        this.members = members;
        this.orders = orders;
        this.rollouts = rollouts;
        this.startNanos = startNanos;
        this.lastUpdateNanos = startNanos;
    }

    /**
     * Returns the next update.
     *
     * @param propagationDelayNanos time until the usage of one VM is known to all
     */
    TrafficUpdate next(boolean listCurrent, long propagationDelayNanos) {
        long nowNanos = System.nanoTime();
        Map<String, PeerEndpointUsage> usage = new HashMap<>();
        List<PeerTeamUsage> teams = new ArrayList<>();
        List<PeerLimitUsage> limits = new ArrayList<>();
        List<PrefixRead> reads = new ArrayList<>();
        Set<String> ordered = new HashSet<>(orders.orderedEndpoints());
        List<RelayPeer> relays = new ArrayList<>();
        Set<String> adaptivePools = new HashSet<>();
        for (Member member : members.live(nowNanos)) {
            addUsage(member, usage, nowNanos);
            adaptivePools.addAll(member.state().getAdaptivePoolsList());
            relayPeer(member.state()).ifPresent(relays::add);
            if (member.receivedNanos() >= lastUpdateNanos) {
                member.state()
                        .getTeamsList()
                        .forEach(use -> teams.add(teamUsage(member, use, nowNanos)));
                member.state()
                        .getLimitsList()
                        .forEach(use -> limits.add(limitUsage(member, use, nowNanos)));
                reads.addAll(member.state().getReadsList());
            }
            member.state().getOrdersList().stream()
                    .map(OrderUnderWay::getEndpoint)
                    .forEach(ordered::add);
        }
        lastUpdateNanos = nowNanos;
        return new TrafficUpdate(
                state.configuration(),
                state.endpoints(),
                listCurrent,
                state.weights(),
                usage,
                teams,
                limits,
                reads,
                ordered,
                rollouts.views(),
                members.reachableFraction(nowNanos),
                members.fleetSize(nowNanos),
                relays,
                propagationDelayNanos,
                adaptivePools);
    }

    /**
     * Returns the number of requests in flight, from all VMs, at each endpoint; omits endpoints
     * that do not respond to this VM.
     */
    Map<String, Integer> fleetLoad(TrafficReport report) {
        Map<String, Integer> requests = new HashMap<>();
        state.endpoints().keySet().forEach(id -> requests.put(id, 0));
        addRequests(report.endpoints(), requests);
        for (Member member : members.live(System.nanoTime())) {
            addRequests(member.state().getEndpointsList(), requests);
        }
        requests.keySet().removeAll(report.suspects());
        return requests;
    }

    private static void addRequests(List<EndpointUse> uses, Map<String, Integer> requests) {
        uses.forEach(use -> requests.merge(use.getEndpoint(), use.getRequests(), Integer::sum));
    }

    /** Returns a VM as one that relays connections; empty if it stops or relays none. */
    private static Optional<RelayPeer> relayPeer(VmState peer) {
        if (peer.getRelayPort() == 0 || peer.getStopping()) {
            return Optional.empty();
        }
        String address = SocketSettings.withPort(peer.getPeersAddress(), peer.getRelayPort());
        return Optional.of(new RelayPeer(peer.getVm(), address, peer.getLostPaths()));
    }

    private static void addUsage(
            Member member, Map<String, PeerEndpointUsage> usage, long nowNanos) {
        for (EndpointUse use : member.state().getEndpointsList()) {
            usage.merge(
                    use.getEndpoint(),
                    new PeerEndpointUsage(
                            use.getQueuedPrefillTokens(),
                            use.getRequests(),
                            speed(member, use, nowNanos)),
                    PeerEndpointUsage::plus);
        }
    }

    private static SpeedReports speed(Member member, EndpointUse use, long nowNanos) {
        long sampleNanos =
                member.receivedNanos() - TimeUnit.MILLISECONDS.toNanos(use.getSpeedAgeMillis());
        return SpeedReports.of(use.getSpeedPercent(), sampleNanos, nowNanos);
    }

    private static PeerLimitUsage limitUsage(Member member, EndpointLimitUse use, long nowNanos) {
        long observedNanos =
                member.receivedNanos() - TimeUnit.MILLISECONDS.toNanos(use.getSeenAgeMillis());
        AdvertisedLimit limit =
                use.getNamed()
                        ? new AdvertisedLimit.Rate(use.getRequestsPerSecond())
                        : new AdvertisedLimit.None();
        return new PeerLimitUsage(
                member.state().getVm(),
                member.state().getIncarnation(),
                use.getEndpoint(),
                use.getBornMillis(),
                limit,
                Math.min(observedNanos, nowNanos),
                new EndpointLimit.Usage(use.getAdmitted(), use.getOffered(), use.getLevel()));
    }

    private PeerTeamUsage teamUsage(Member member, TeamUse use, long nowNanos) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - member.receivedNanos());
        long peerAgeMillis = member.state().getAgeMillis() + elapsedMillis;
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
        PeerBucketUsage bucketUsage =
                new PeerBucketUsage(
                        member.state().getVm(),
                        member.state().getIncarnation(),
                        use.getAdmittedTokens(),
                        use.getOfferedTokens(),
                        use.getLevelTokens(),
                        peerAgeMillis < ageMillis + SAME_START_MILLIS);
        return new PeerTeamUsage(use.getTeam(), bucketUsage);
    }
}
