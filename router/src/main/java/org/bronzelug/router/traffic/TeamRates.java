package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bronzelug.core.limit.FleetBucket;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.Team;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Token buckets that limit the rate of each team over the whole fleet.
 *
 * <p>Each VM keeps a {@link FleetBucket} per team with a rate. It charges the bucket with the
 * tokens of the requests that it admits itself and with the usage that its peers report, so all VMs
 * enforce one rate without asking each other before they admit a request.
 *
 * <p>Invariant: a team that the configuration in force lists without a rate has no bucket, and its
 * requests are always admitted. Confined to the traffic thread.
 */
public final class TeamRates {
    /**
     * Fraction of its burst that a bucket holds initially if this VM joins a running fleet. The
     * other VMs may have admitted a whole burst just before, and more during the propagation delay
     * of their usage, and a restart must not cancel that debt. A fifth admits the first requests of
     * a team that keeps to its rate, until the rest accrues within a second or two.
     */
    private static final double RESTART_FRACTION = 0.2;

    /**
     * If a team's bucket is below this fraction of its burst, the team's usage is sent to all VMs
     * immediately.
     */
    private static final double CONTENDED_FRACTION = 0.5;

    /**
     * Reports with the same usage that a VM sends of a contended team: the second makes up for the
     * loss of the first.
     */
    private static final int REPORTS_OF_SAME_USAGE = 2;

    private final boolean fleetStarts;
    private final double slackTokens;
    private boolean usesSlack;
    private final Map<String, ReportedUsage> reported = new HashMap<>();
    private final Map<String, FleetBucket> buckets = new HashMap<>();
    private final Map<String, Team> limitedTeams = new HashMap<>();
    private Optional<RoutingConfiguration> appliedConfiguration = Optional.empty();

    /**
     * @param fleetStarts whether the whole fleet starts for the first time, rather than only this
     *     VM
     * @param slackTokens tokens that a team may get beyond its rate and burst, since VMs know each
     *     other's usage with a delay; 0 if the installation states none
     */
    public TeamRates(boolean fleetStarts, double slackTokens) {
        this.fleetStarts = fleetStarts;
        this.slackTokens = slackTokens;
    }

    /**
     * @param adaptive whether decisions adapt to the measured load; only then the slack is used
     */
    void update(TrafficUpdate update, boolean adaptive, long nowNanos) {
        usesSlack = adaptive && slackTokens > 0;
        if (!update.configuration().equals(appliedConfiguration)) {
            appliedConfiguration = update.configuration();
            appliedConfiguration.ifPresent(present -> present.teams().forEach(this::applyRate));
        }
        for (PeerTeamUsage peer : update.peerTeams()) {
            FleetBucket bucket = buckets.get(peer.team());
            if (bucket != null) {
                bucket.recordPeer(peer.usage(), nowNanos);
            }
        }
        for (FleetBucket bucket : buckets.values()) {
            bucket.setReachableFraction(update.reachableFraction());
            bucket.setSlack(usesSlack ? slackTokens : 0);
            bucket.setPropagationDelay(update.propagationDelayNanos());
        }
    }

    private void applyRate(Team team) {
        long nowNanos = System.nanoTime();
        if (!team.isLimited()) {
            buckets.remove(team.name());
            return;
        }
        double burst = Math.max(team.burstTokens(), team.tokensPerSecond());
        double initialLevel = fleetStarts ? burst : burst * RESTART_FRACTION;
        if (!team.equals(limitedTeams.put(team.name(), team))) {
            EventLog.info(LogEvent.TEAM_RATE_CHANGED, team.toString());
        }
        buckets.computeIfAbsent(
                        team.name(),
                        name ->
                                new FleetBucket(
                                        team.tokensPerSecond(), burst, initialLevel, nowNanos))
                .change(team.tokensPerSecond(), burst);
    }

    /** Takes the tokens of a request out of a team's bucket, if the bucket admits all of them. */
    public boolean tryAcquire(Team team, long tokens, long nowNanos) {
        FleetBucket bucket = buckets.get(team.name());
        return bucket == null || bucket.tryAcquire(tokens, Math.random(), nowNanos);
    }

    /** Returns the tokens of a request that did not run to the team's bucket. */
    public void refund(Team team, long tokens) {
        FleetBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.refund(tokens, System.nanoTime());
        }
    }

    /** Takes tokens unconditionally, for the retry of a request that may have run already. */
    public void charge(Team team, long tokens) {
        FleetBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.charge(tokens, System.nanoTime());
        }
    }

    /** Returns how long it takes until the team's bucket admits the tokens. */
    public long nanosUntil(Team team, long tokens, long nowNanos) {
        FleetBucket bucket = buckets.get(team.name());
        return bucket == null ? 0 : bucket.nanosUntil(tokens, Math.random(), nowNanos);
    }

    /**
     * Returns the names of the teams so near their limit that peers need this VM's usage at once.
     * Omits a team whose usage has not changed since it was returned twice. Without this, each VM
     * with usage of a team sent to all others in each round, as long as the team's burst lasted.
     */
    public Set<String> contended(long nowNanos) {
        Set<String> contended = new HashSet<>();
        buckets.forEach(
                (team, bucket) -> {
                    boolean isUsed = bucket.admitted() > 0 && isNearLimit(bucket, nowNanos);
                    if (isUsed && reportUsage(team, bucket)) {
                        contended.add(team);
                    }
                });
        return contended;
    }

    /**
     * Returns whether a team is near its limit. Where the slack is used, a bucket may stay above
     * half of its burst while the team requests more than its rate.
     */
    private boolean isNearLimit(FleetBucket bucket, long nowNanos) {
        return bucket.level(nowNanos) < bucket.burst() * CONTENDED_FRACTION
                || (usesSlack && bucket.demandRate(nowNanos) > bucket.rate());
    }

    /** Returns whether to report the usage, and records the report. */
    private boolean reportUsage(String team, FleetBucket bucket) {
        ReportedUsage usage = new ReportedUsage(bucket.admitted(), bucket.offered(), 1);
        ReportedUsage previous = reported.getOrDefault(team, usage.withReports(0));
        if (!previous.withReports(1).equals(usage)) {
            reported.put(team, usage);
            return true;
        }
        reported.put(team, usage.withReports(previous.reports() + 1));
        return previous.reports() < REPORTS_OF_SAME_USAGE;
    }

    /** Visits each team with a rate. */
    public void forEach(BiConsumer<String, FleetBucket> visitor) {
        buckets.forEach(visitor);
    }

    /**
     * The usage of a team that peers were last told.
     *
     * @param reports how often this usage was reported
     */
    private record ReportedUsage(long admitted, long offered, int reports) {
        private ReportedUsage withReports(int count) {
            return new ReportedUsage(admitted, offered, count);
        }
    }
}
