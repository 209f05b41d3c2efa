package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.bronzelug.core.claim.ExclusiveClaim;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * The team rates that this VM holds: whole teams, in groups that move as one claim.
 *
 * <p>Invariant: a bucket exists only in the VM that may use the group's claim, and a bucket after a
 * take-over starts empty, so that over all VMs no interval sees more than rate * t + burst. Weighed
 * against shares of each team on several VMs: splitting refuses requests which one central bucket
 * would admit, and needs transfers that can get lost (DESIGN.md "Rates").
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class RateShares {
    /** Teams are spread over so many groups; each is one platform object. */
    public static final int GROUPS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final long CLAIM_MOVE_NANOS = 1_000_000_000L;

    private final MemberIdentity self;
    private final long freshnessLimitNanos;
    private final Map<Integer, ExclusiveClaim> claims = new HashMap<>();
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    public RateShares(MemberIdentity self, long freshnessLimitNanos) {
        this.self = self;
        this.freshnessLimitNanos = freshnessLimitNanos;
    }

    /** The group of a team: the same on every VM. */
    public static int groupOf(String team) {
        return (int) Long.remainderUnsigned(HASH.hashChars(team), GROUPS);
    }

    public ExclusiveClaim claim(int group) {
        return claims.computeIfAbsent(
                group, ignored -> new ExclusiveClaim(self, freshnessLimitNanos));
    }

    /** Takes in the group's object; a group that moved away loses its buckets here. */
    public void observe(int group, long version, MemberIdentity holder) {
        ExclusiveClaim claim = claim(group);
        if (version > claim.version()) {
            dropBuckets(group);
        }
        claim.observe(version, holder);
    }

    /** Notes that this VM has committed itself as the holder: see {@link ExclusiveClaim#take}. */
    public void take(int group, long version, boolean hadHolder) {
        observe(group, version, self);
        claim(group).take(version, hadHolder);
    }

    /** Notes that a majority knows this VM as the holder. */
    public void confirm(int group, long version, long nowNanos) {
        claim(group).confirm(version, nowNanos);
    }

    /** Asks for tokens of a team whose group this VM may hold. */
    public Admission reserve(
            String id, String team, TeamRate rate, double amount, long nowNanos, boolean fresh) {
        int group = groupOf(team);
        if (!claim(group).mayUse(nowNanos, fresh)) {
            return new Admission.NotHeld(CLAIM_MOVE_NANOS);
        }
        TokenBucket bucket = bucket(group, team, rate, nowNanos);
        return bucket.reserve(id, amount, nowNanos)
                ? new Admission.Granted()
                : new Admission.OverRate(bucket.nanosUntil(amount, nowNanos));
    }

    /** Ends a reservation; harmless where the group has moved away meanwhile. */
    public void settle(String id, String team, double used, long nowNanos) {
        Optional.ofNullable(buckets.get(team))
                .ifPresent(bucket -> bucket.settle(id, used, nowNanos));
    }

    /** What this VM holds for a team; empty where another VM does. */
    public Optional<Double> tokens(String team, long nowNanos) {
        return Optional.ofNullable(buckets.get(team)).map(bucket -> bucket.tokens(nowNanos));
    }

    /** Stops using a group, for good, and returns the tokens of its teams for the heir. */
    public Map<String, Double> release(int group, Map<String, TeamRate> rates, long nowNanos) {
        Map<String, Double> levels = new HashMap<>();
        if (claim(group).usableFrom().isPresent()) {
            rates.forEach(
                    (team, rate) -> {
                        if (groupOf(team) == group) {
                            TokenBucket bucket = bucket(group, team, rate, nowNanos);
                            levels.put(team, bucket.tokens(nowNanos));
                        }
                    });
        }
        claim(group).release();
        dropBuckets(group);
        return levels;
    }

    /** Starts using a group that the holder of this version has released to this VM. */
    public void inherit(
            int group,
            long version,
            MemberIdentity former,
            Map<String, Double> levels,
            Map<String, TeamRate> rates,
            long nowNanos) {
        observe(group, version, former);
        claim(group).inherit(version, former, nowNanos);
        if (claim(group).usableFrom().isEmpty()) {
            return;
        }
        levels.forEach(
                (team, level) -> {
                    TeamRate rate = rates.getOrDefault(team, new TeamRate(0, 0));
                    buckets.put(team, newBucket(rate, level, nowNanos));
                });
    }

    private TokenBucket bucket(int group, String team, TeamRate rate, long nowNanos) {
        TokenBucket bucket = buckets.get(team);
        if (bucket == null) {
            // An idle team's tokens accrue from when the claim became usable, not from its first
            // request after that; otherwise the request is refused although within the rate.
            // Only the first holder ever starts full: no VM can have used the burst before it.
            double start = claim(group).isFirstEver() ? rate.burstTokens() : 0;
            long since = claim(group).usableFrom().orElse(nowNanos);
            bucket = newBucket(rate, start, since);
            buckets.put(team, bucket);
        }
        bucket.change(rate.tokensPerSecond(), rate.burstTokens(), nowNanos);
        return bucket;
    }

    private static TokenBucket newBucket(TeamRate rate, double level, long nowNanos) {
        return new TokenBucket(rate.tokensPerSecond(), rate.burstTokens(), level, nowNanos);
    }

    private void dropBuckets(int group) {
        buckets.keySet().removeIf(team -> groupOf(team) == group);
    }
}
