package org.bronzelug.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointLimitUse;
import org.bronzelug.api.fleet.v1.EndpointUse;
import org.bronzelug.api.fleet.v1.OrderUnderWay;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.api.fleet.v1.TeamUse;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.limit.PeerBucketUsage;
import org.bronzelug.router.fleet.Member;
import org.bronzelug.router.fleet.MemberTable;
import org.bronzelug.router.order.OrderService;
import org.bronzelug.router.traffic.PeerEndpointUsage;
import org.bronzelug.router.traffic.PeerLimitUsage;
import org.bronzelug.router.traffic.PeerTeamUsage;
import org.bronzelug.router.traffic.TrafficUpdate;

/**
 * Gathers for the traffic thread what is known of the platform's objects and of the other VMs.
 *
 * <p>Invariant: counts and reads of a peer are in the first update after it was heard, and in no
 * later one until it is heard again. Confined to the control thread.
 */
final class FleetUpdates {
    /** VMs that start within this of each other know the same of what was admitted before. */
    private static final long SAME_START_MILLIS = 2_000;

    private final ControlState state;
    private final MemberTable members;
    private final OrderService orders;
    private final long startNanos;
    private long lastNanos;

    /**
     * @param startNanos when this VM started
     */
    FleetUpdates(ControlState state, MemberTable members, OrderService orders, long startNanos) {
        this.state = state;
        this.members = members;
        this.orders = orders;
        this.startNanos = startNanos;
        this.lastNanos = startNanos;
    }

    /**
     * The next update.
     *
     * @param propagationDelayNanos until the count of one VM is known to all
     */
    TrafficUpdate next(long propagationDelayNanos) {
        long nowNanos = System.nanoTime();
        Map<String, PeerEndpointUsage> uses = new HashMap<>();
        List<PeerTeamUsage> teams = new ArrayList<>();
        List<PeerLimitUsage> limits = new ArrayList<>();
        List<PrefixRead> reads = new ArrayList<>();
        Set<String> ordered = new HashSet<>(orders.orderedEndpoints());
        for (Member member : members.live(nowNanos)) {
            addUses(member, uses);
            if (member.receivedNanos() >= lastNanos) {
                member.state()
                        .getTeamsList()
                        .forEach(use -> teams.add(teamUse(member, use, nowNanos)));
                member.state()
                        .getLimitsList()
                        .forEach(use -> limits.add(limitUse(member, use, nowNanos)));
                reads.addAll(member.state().getReadsList());
            }
            member.state().getOrdersList().stream()
                    .map(OrderUnderWay::getEndpoint)
                    .forEach(ordered::add);
        }
        lastNanos = nowNanos;
        return new TrafficUpdate(
                state.configuration(),
                state.endpoints(),
                state.weights(),
                uses,
                teams,
                limits,
                reads,
                ordered,
                members.reachableFraction(nowNanos),
                1 + members.notGone(nowNanos).size(),
                propagationDelayNanos);
    }

    private static void addUses(Member member, Map<String, PeerEndpointUsage> uses) {
        for (EndpointUse use : member.state().getEndpointsList()) {
            uses.merge(
                    use.getEndpoint(),
                    new PeerEndpointUsage(use.getQueuedPrefillTokens(), use.getRequests()),
                    (left, right) -> left.plus(right.queuedPrefillTokens(), right.requests()));
        }
    }

    private static PeerLimitUsage limitUse(Member member, EndpointLimitUse use, long nowNanos) {
        long seenNanos =
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
                Math.min(seenNanos, nowNanos),
                new EndpointLimit.Count(use.getAdmitted(), use.getOffered(), use.getLevel()));
    }

    private PeerTeamUsage teamUse(Member member, TeamUse use, long nowNanos) {
        long heardMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - member.receivedNanos());
        long peerAgeMillis = member.state().getAgeMillis() + heardMillis;
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
        PeerBucketUsage count =
                new PeerBucketUsage(
                        member.state().getVm(),
                        member.state().getIncarnation(),
                        use.getAdmittedTokens(),
                        use.getOfferedTokens(),
                        use.getLevelTokens(),
                        peerAgeMillis < ageMillis + SAME_START_MILLIS);
        return new PeerTeamUsage(use.getTeam(), count);
    }
}
