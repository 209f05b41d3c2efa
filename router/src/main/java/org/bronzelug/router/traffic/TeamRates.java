package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bronzelug.core.limit.FleetBucket;
import org.bronzelug.core.routing.Team;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/** The buckets of all teams with a rate. Confined to the traffic thread. */
public final class TeamRates {
    /**
     * The part of its burst that a bucket holds at first, where the VM does not start with the
     * whole fleet: others may have admitted a burst just before, and more than that while their
     * counts travelled. A restart must not forgive that debt; a fifth lets the first requests of a
     * team in that keeps to its rate, until the rest accrues within a second or two.
     */
    private static final double RESTART_PART = 0.2;

    /** Below this part of its burst a team's count is told to all VMs at once. */
    private static final double CONTENDED_FRACTION = 0.5;

    private final boolean fleetStarts;
    private final Map<String, FleetBucket> buckets = new HashMap<>();
    private final Map<String, Team> limited = new HashMap<>();

    /**
     * @param fleetStarts whether the whole fleet starts for the first time
     */
    public TeamRates(boolean fleetStarts) {
        this.fleetStarts = fleetStarts;
    }

    void update(TrafficUpdate update, long nowNanos) {
        update.configuration().ifPresent(present -> present.teams().forEach(this::limit));
        for (PeerTeamUsage use : update.peerTeams()) {
            FleetBucket bucket = buckets.get(use.team());
            if (bucket != null) {
                bucket.recordPeer(use.count(), nowNanos);
            }
        }
        for (FleetBucket bucket : buckets.values()) {
            bucket.setReachableFraction(update.reachableFraction());
            bucket.setPropagationDelay(update.propagationDelayNanos());
        }
    }

    private void limit(Team team) {
        long nowNanos = System.nanoTime();
        if (!team.isLimited()) {
            buckets.remove(team.name());
            return;
        }
        double burst = Math.max(team.burstTokens(), team.tokensPerSecond());
        double level = fleetStarts ? burst : burst * RESTART_PART;
        if (!team.equals(limited.put(team.name(), team))) {
            EventLog.info(LogEvent.TEAM_RATE_CHANGED, team.toString());
        }
        buckets.computeIfAbsent(
                        team.name(),
                        name -> new FleetBucket(team.tokensPerSecond(), burst, level, nowNanos))
                .change(team.tokensPerSecond(), burst);
    }

    /** Takes tokens out of a team's bucket, all or nothing. */
    public boolean tryAcquire(Team team, long tokens, long nowNanos) {
        FleetBucket bucket = buckets.get(team.name());
        return bucket == null || bucket.tryAcquire(tokens, Math.random(), nowNanos);
    }

    /** Gives back what was taken for a request that did not run. */
    public void refund(Team team, long tokens) {
        FleetBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.refund(tokens, System.nanoTime());
        }
    }

    /** Takes tokens in any case, for a request that is sent once more and may have run before. */
    public void charge(Team team, long tokens) {
        FleetBucket bucket = buckets.get(team.name());
        if (bucket != null) {
            bucket.charge(tokens, System.nanoTime());
        }
    }

    /** How long until the tokens are there. */
    public long nanosUntil(Team team, long tokens, long nowNanos) {
        FleetBucket bucket = buckets.get(team.name());
        return bucket == null ? 0 : bucket.nanosUntil(tokens, Math.random(), nowNanos);
    }

    /**
     * Teams that are near their limit, so that each VM's count matters to the others at once.
     *
     * @return their names
     */
    public Set<String> pressed(long nowNanos) {
        Set<String> pressed = new HashSet<>();
        buckets.forEach(
                (team, bucket) -> {
                    boolean low = bucket.level(nowNanos) < bucket.burst() * CONTENDED_FRACTION;
                    if (low && bucket.admitted() > 0) {
                        pressed.add(team);
                    }
                });
        return pressed;
    }

    /** Visits each team with a rate. */
    public void forEach(BiConsumer<String, FleetBucket> visitor) {
        buckets.forEach(visitor);
    }
}
