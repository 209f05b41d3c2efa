package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.admission.FairShares;
import org.bronzelug.core.routing.Team;

/**
 * The teams' fair shares of the work that the fleet accepts, from what all VMs report of the teams'
 * rates. One VM alone sees too few requests to compare the teams.
 *
 * <p>The work is that of all pools together. A team without a rate has no reported use, and is
 * never beyond its share. Confined to the traffic thread.
 */
public final class TeamShares {
    /** The shares are computed anew after this time: reports come about as often. */
    private static final long VALID_NANOS = 100_000_000L;

    private final TeamRates rates;
    private FairShares shares = FairShares.unlimited();
    private long computedNanos = Long.MIN_VALUE;

    TeamShares(TeamRates rates) {
        this.rates = rates;
    }

    /** Returns the name under which a team's use is counted. */
    public static String nameOf(Optional<Team> team) {
        return team.map(Team::name).orElse("");
    }

    /** Returns the shares of the last second. */
    public FairShares current(long nowNanos) {
        if (computedNanos == Long.MIN_VALUE || nowNanos - computedNanos >= VALID_NANOS) {
            shares = compute(nowNanos);
            computedNanos = nowNanos;
        }
        return shares;
    }

    private FairShares compute(long nowNanos) {
        Map<String, Double> requested = new HashMap<>();
        double[] accepted = new double[1];
        rates.forEach(
                (team, bucket) -> {
                    double demand = bucket.demandRate(nowNanos);
                    if (demand > 0) {
                        requested.put(team, demand);
                    }
                    accepted[0] += bucket.usageRate(nowNanos);
                });
        return FairShares.of(requested, accepted[0]);
    }
}
