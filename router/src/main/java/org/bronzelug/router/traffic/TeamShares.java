package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.admission.FairShares;
import org.bronzelug.core.admission.ShareCredit;
import org.bronzelug.core.routing.Team;

/**
 * The teams' fair shares of what each adaptive pool of model runners can do, from what all VMs
 * report of the teams' rates. One VM alone sees too few requests to compare the teams.
 *
 * <p>The work of a team is that of all pools together. A team without a rate has no reported use,
 * and is never beyond its share. Confined to the traffic thread.
 */
public final class TeamShares {
    /** The shares are computed anew after this time: reports come about as often. */
    private static final long VALID_NANOS = 100_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Weight of earlier prompts in the ratio of all tokens to those that are not cached. */
    private static final double EARLIER_WEIGHT = 0.98;

    private final TeamRates rates;
    private final EndpointTable endpoints;
    private final Map<String, PoolShares> pools = new HashMap<>();

    /** What is known of one pool. */
    private static final class PoolShares {
        private final ShareCredit credit = new ShareCredit();
        private FairShares shares = FairShares.unlimited();
        private long computedNanos = Long.MIN_VALUE;
        private double tokens;
        private double missingTokens;
    }

    TeamShares(TeamRates rates, EndpointTable endpoints) {
        this.rates = rates;
        this.endpoints = endpoints;
    }

    /** Returns the name under which a team's use is counted. */
    public static String nameOf(Optional<Team> team) {
        return team.map(Team::name).orElse("");
    }

    private PoolShares pool(String name) {
        return pools.computeIfAbsent(name, key -> new PoolShares());
    }

    /** Returns what this VM may send to the pool of the teams beyond their share. */
    public ShareCredit credit(String pool) {
        return pool(pool).credit;
    }

    /**
     * Records a prompt that is sent to a runner.
     *
     * @param missing tokens that the runner has to prefill
     */
    public void recordSent(String pool, long tokens, long missing) {
        PoolShares known = pool(pool);
        known.tokens = EARLIER_WEIGHT * known.tokens + tokens;
        known.missingTokens = EARLIER_WEIGHT * known.missingTokens + missing;
    }

    /** Returns the shares of the last second. */
    public FairShares current(String pool, long nowNanos) {
        PoolShares known = pool(pool);
        if (known.computedNanos == Long.MIN_VALUE
                || nowNanos - known.computedNanos >= VALID_NANOS) {
            known.shares = compute(pool, known, nowNanos);
            known.computedNanos = nowNanos;
        }
        return known.shares;
    }

    private FairShares compute(String pool, PoolShares known, long nowNanos) {
        Map<String, Double> requested = new HashMap<>();
        double[] sent = new double[1];
        rates.forEach(
                (team, bucket) -> {
                    double demand = bucket.demandRate(nowNanos);
                    if (demand > 0) {
                        requested.put(team, demand);
                    }
                    sent[0] += bucket.usageRate(nowNanos);
                });
        double prefilled =
                endpoints.available(pool, nowNanos).size()
                        * NANOS_PER_SECOND
                        / endpoints.prefillRate(pool).nanosPerToken();
        double cached = known.missingTokens > 0 ? known.tokens / known.missingTokens : 1;
        return FairShares.of(requested, sent[0], prefilled * Math.max(1, cached));
    }
}
