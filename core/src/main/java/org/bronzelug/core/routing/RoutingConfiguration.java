package org.bronzelug.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.key.KeyDigest;

/**
 * One version of the whole configuration: routes, pools, teams and their keys.
 *
 * <p>Invariant: keys are stored only as digests. Immutable.
 */
public final class RoutingConfiguration {
    private final long version;
    private final IngressLimits limits;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, EndpointPool> pools;
    private final List<CacheStore> cacheStores;
    private final Map<String, Team> teams = new HashMap<>();
    private final Map<KeyDigest, Team> teamsByKey;

    /**
     * @param version increases with each change
     * @param teamsByKey empty if no request needs a key
     */
    public RoutingConfiguration(
            long version,
            IngressLimits limits,
            Collection<Route> routes,
            Map<String, EndpointPool> pools,
            List<CacheStore> cacheStores,
            Collection<Team> teams,
            Map<KeyDigest, Team> teamsByKey) {
        this.version = version;
        this.limits = limits;
        this.pools = Map.copyOf(pools);
        this.cacheStores = List.copyOf(cacheStores);
        this.teamsByKey = Map.copyOf(teamsByKey);
        for (Team team : teams) {
            this.teams.put(team.name(), team);
        }
        for (Route route : routes) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
    }

    public long version() {
        return version;
    }

    public IngressLimits limits() {
        return limits;
    }

    /** Returns the host's route with the longest path prefix that matches the path. */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    public Optional<EndpointPool> pool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    public Collection<EndpointPool> pools() {
        return pools.values();
    }

    public Optional<CacheStore> cacheStore() {
        return cacheStores.stream().findFirst();
    }

    /** Returns whether requests need a team's key. */
    public boolean needsKeys() {
        return !teams.isEmpty();
    }

    public Optional<Team> teamOf(KeyDigest key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }

    public Collection<Team> teams() {
        return teams.values();
    }

    /** Returns the routes whose streams can be resumed. */
    public List<Route> resumableRoutes() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.retryPolicy() == RetryPolicy.RESUMABLE)
                .toList();
    }

    public int routeCount() {
        return routesByHost.values().stream().mapToInt(List::size).sum();
    }
}
