package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.bronzelug.core.claim.ExclusiveClaim;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * The token buckets of the teams whose rates this VM may admit from.
 *
 * <p>Teams are hashed into groups. The rates of a group's teams form one share, from which one VM
 * at a time admits. Which VM holds a share is decided by a claim: exclusive ownership with a
 * fencing token, without expiry (see {@link ExclusiveClaim}). Its holder may transfer it to a
 * successor, with the tokens left; another VM may also take ownership without the holder's
 * cooperation.
 *
 * <p>Invariant: a bucket exists only on the VM that may use the claim of the team's group, and
 * after ownership is taken without a transfer it starts empty. Therefore all VMs together admit at
 * most {@code rate * t + burst} in any interval of length t.
 *
 * <p>The alternative, splitting each team's rate among several VMs, would reject requests that one
 * central bucket would admit, and would transfer tokens between VMs in messages that can get lost
 * (DESIGN.md "Rates").
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class RateShares {
    /** Number of groups of teams; each group is one platform object. */
    public static final int GROUPS = 64;

    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final long CLAIM_MOVE_NANOS = 1_000_000_000L;

    private final MemberIdentity self;
    private final long stalenessBoundNanos;
    private final Map<Integer, ExclusiveClaim> claims = new HashMap<>();
    private final Map<String, TeamTokens> buckets = new HashMap<>();

    public RateShares(MemberIdentity self, long stalenessBoundNanos) {
        this.self = self;
        this.stalenessBoundNanos = stalenessBoundNanos;
    }

    /** Returns the group of a team, which is the same on every VM. */
    public static int groupOf(String team) {
        return (int) Long.remainderUnsigned(HASH.hashChars(team), GROUPS);
    }

    public ExclusiveClaim claim(int group) {
        return claims.computeIfAbsent(
                group, ignored -> new ExclusiveClaim(self, stalenessBoundNanos));
    }

    /**
     * Records the holder that the group's object names. If the version is newer, drops this VM's
     * buckets of the group.
     */
    public void observe(int group, long version, MemberIdentity holder) {
        ExclusiveClaim claim = claim(group);
        if (version > claim.version()) {
            dropBuckets(group);
        }
        claim.observe(version, holder);
    }

    /**
     * Records that this VM has committed itself as the holder; see {@link
     * ExclusiveClaim#recordAcquisition}.
     */
    public void recordAcquisition(int group, long version, boolean hadHolder) {
        observe(group, version, self);
        claim(group).recordAcquisition(version, hadHolder);
    }

    /** Records that a majority of the VMs has confirmed this VM as the holder. */
    public void confirm(int group, long version, long nowNanos) {
        claim(group).confirm(version, nowNanos);
    }

    /** Reserves tokens of a team; granted only if this VM may use the claim of the team's group. */
    public Admission reserve(
            String id, String team, TeamRate rate, double amount, long nowNanos, boolean fresh) {
        int group = groupOf(team);
        if (!claim(group).mayUse(nowNanos, fresh)) {
            return new Admission.NotHeld(CLAIM_MOVE_NANOS);
        }
        return bucket(group, team, rate, nowNanos).reserve(id, amount, nowNanos);
    }

    /** Settles a reservation; has no effect if the group has moved to another VM meanwhile. */
    public void settle(String id, String team, double used, long nowNanos) {
        Optional.ofNullable(buckets.get(team))
                .ifPresent(bucket -> bucket.settle(id, used, nowNanos));
    }

    /** Returns the available tokens of a team; empty if this VM has no bucket for the team. */
    public Optional<Double> tokens(String team, long nowNanos) {
        return Optional.ofNullable(buckets.get(team)).map(bucket -> bucket.tokens(nowNanos));
    }

    /** Stops using a group permanently; returns the tokens left to its teams, for the successor. */
    public Map<String, Double> release(int group, Map<String, TeamRate> rates, long nowNanos) {
        Map<String, Double> levels = new HashMap<>();
        if (claim(group).usableFrom().isPresent()) {
            rates.forEach(
                    (team, rate) -> {
                        if (groupOf(team) == group) {
                            TeamTokens bucket = bucket(group, team, rate, nowNanos);
                            levels.put(team, bucket.tokens(nowNanos));
                        }
                    });
        }
        claim(group).release();
        dropBuckets(group);
        return levels;
    }

    /** Starts using a group that the holder of this version has transferred to this VM. */
    public void acceptTransfer(
            int group,
            long version,
            MemberIdentity previousHolder,
            Map<String, Double> levels,
            Map<String, TeamRate> rates,
            long nowNanos) {
        observe(group, version, previousHolder);
        claim(group).acceptTransfer(version, previousHolder, nowNanos);
        if (claim(group).usableFrom().isEmpty()) {
            return;
        }
        levels.forEach(
                (team, level) -> {
                    TeamRate rate = rates.getOrDefault(team, new TeamRate(0, 0));
                    buckets.put(team, TeamTokens.known(rate, level, nowNanos));
                });
    }

    private TeamTokens bucket(int group, String team, TeamRate rate, long nowNanos) {
        TeamTokens bucket = buckets.get(team);
        if (bucket == null) {
            // An idle team's tokens accrue from when the claim became usable, not from the team's
            // first request after that; otherwise this request would be rejected although it is
            // within the rate. Only the first holder ever starts with a full bucket, since no other
            // VM can have used the burst before.
            long startNanos = claim(group).usableFrom().orElse(nowNanos);
            bucket =
                    claim(group).isFirstHolder()
                            ? TeamTokens.known(rate, rate.burstTokens(), startNanos)
                            : TeamTokens.unknown(rate, startNanos);
            buckets.put(team, bucket);
        }
        bucket.change(rate, nowNanos);
        return bucket;
    }

    private void dropBuckets(int group) {
        buckets.keySet().removeIf(team -> groupOf(team) == group);
    }
}
