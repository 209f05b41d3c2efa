package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.Team;

/**
 * A request that may be served. Immutable.
 *
 * @param head the request
 * @param route that it takes
 * @param team whose rate is charged
 * @param tokens that were taken out of the team's rate
 * @param pool that serves it; empty where the configuration names none
 * @param configurationVersion that decided
 * @param arrivedNanos when it had arrived whole, by the local monotonic clock
 */
record AdmittedRequest(
        RequestHead head,
        Route route,
        Optional<Team> team,
        long tokens,
        Optional<EndpointPool> pool,
        long configurationVersion,
        long arrivedNanos) {
    /** Keeps a dedicated team's cache entries apart from all others'. */
    String wall() {
        return team.filter(Team::dedicated).map(Team::name).orElse("");
    }
}
