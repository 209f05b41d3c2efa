package org.bronzelug.router.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.PoolWork;
import org.bronzelug.core.placement.GoalClass;
import org.bronzelug.core.placement.GoalClasses;
import org.bronzelug.core.placement.GoalSeparation;
import org.bronzelug.core.placement.PrefillWork;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.RoutingConfiguration;

/**
 * The division of each pool's runners between prompts with shorter and longer goals (see {@link
 * GoalSeparation}), by the work that this VM sends and its peers report.
 *
 * <p>Invariant: a pool is divided only if it has an engine, its endpoints report how long work
 * takes, its routes have goals in two classes, and the work of most VMs is known. Prompts to other
 * pools may use all runners. Confined to the traffic thread.
 */
public final class GoalSets {
    private static final double NANOS_PER_SECOND = 1e9;

    private final EndpointTable endpoints;
    private final Map<String, GoalClasses> classes = new HashMap<>();
    private final Map<String, PrefillWork> works = new HashMap<>();
    private Optional<RoutingConfiguration> configuration = Optional.empty();

    // The last order: the available runners rarely change from one prompt to the next.
    private String orderedPool = "";
    private Set<String> orderedRunners = Set.of();
    private List<String> order = List.of();

    GoalSets(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    void update(Optional<RoutingConfiguration> current, List<PeerPoolWork> peers, long nowNanos) {
        if (!current.equals(configuration)) {
            configuration = current;
            classes.clear();
            current.ifPresent(this::addClasses);
            works.keySet().retainAll(classes.keySet());
        }
        for (PeerPoolWork peer : peers) {
            if (classes.containsKey(peer.pool())) {
                work(peer.pool(), nowNanos)
                        .recordPeer(
                                peer.vm(),
                                peer.incarnation(),
                                peer.goalClass(),
                                peer.tokens(),
                                nowNanos);
            }
        }
    }

    private void addClasses(RoutingConfiguration current) {
        for (EndpointPool pool : current.pools()) {
            if (pool.engine().isPresent()) {
                GoalClasses.of(current.goalsMillis(pool.name()))
                        .ifPresent(found -> classes.put(pool.name(), found));
            }
        }
    }

    private PrefillWork work(String pool, long nowNanos) {
        return works.computeIfAbsent(pool, name -> new PrefillWork(nowNanos));
    }

    private Optional<GoalClasses> activeClasses(String pool) {
        return endpoints.adaptivePools().contains(pool)
                ? Optional.ofNullable(classes.get(pool))
                : Optional.empty();
    }

    /**
     * Records that this VM sends a prompt to a runner.
     *
     * @param tokens the tokens that the runner is estimated to have to prefill
     */
    public void recordSent(String pool, long goalMillis, int tokens, long nowNanos) {
        activeClasses(pool)
                .ifPresent(
                        found ->
                                work(pool, nowNanos)
                                        .recordSent(found.of(goalMillis), tokens, nowNanos));
    }

    /**
     * Returns the work that this VM has sent, to be reported to the other VMs. A pool to which it
     * has sent nothing is reported as well: peers must know that its work is known.
     */
    public List<PoolWork> workToReport() {
        List<PoolWork> reported = new ArrayList<>();
        for (String pool : classes.keySet()) {
            if (activeClasses(pool).isPresent()) {
                for (GoalClass goalClass : GoalClass.values()) {
                    reported.add(
                            PoolWork.newBuilder()
                                    .setPool(pool)
                                    .setRelaxed(goalClass == GoalClass.RELAXED)
                                    .setTokens(sentTokens(pool, goalClass))
                                    .build());
                }
            }
        }
        return reported;
    }

    private long sentTokens(String pool, GoalClass goalClass) {
        return Optional.ofNullable(works.get(pool))
                .map(work -> work.sentTokens(goalClass))
                .orElse(0L);
    }

    /**
     * Returns those of the usable runners that are in the set of the prompt's class; all of them if
     * the pool is not divided or none is in the set.
     *
     * @param goalMillis goal of the prompt's route
     * @param available the pool's runners that are available to any prompt
     * @param usable those that this prompt may use
     */
    List<EndpointState> preferred(
            String pool,
            long goalMillis,
            Collection<EndpointState> available,
            List<EndpointState> usable,
            long nowNanos) {
        Optional<GoalClasses> active = activeClasses(pool);
        PrefillWork work = works.get(pool);
        if (active.isEmpty() || work == null || !work.isKnown(nowNanos)) {
            return usable;
        }
        GoalSeparation separation =
                GoalSeparation.of(
                        order(pool, available),
                        busyRunners(pool, work, GoalClass.RELAXED, nowNanos),
                        busyRunners(pool, work, GoalClass.TIGHT, nowNanos));
        Set<String> set = separation.runners(active.get().of(goalMillis));
        List<EndpointState> inSet =
                usable.stream().filter(state -> set.contains(state.entry().id())).toList();
        return inSet.isEmpty() ? usable : inSet;
    }

    /** Returns how many runners the work of a class keeps busy. */
    private double busyRunners(String pool, PrefillWork work, GoalClass goalClass, long nowNanos) {
        return work.tokensPerSecond(goalClass, nowNanos)
                * endpoints.prefillRate(pool).nanosPerToken()
                / NANOS_PER_SECOND;
    }

    private List<String> order(String pool, Collection<EndpointState> available) {
        Set<String> runners = new HashSet<>();
        available.forEach(state -> runners.add(state.entry().id()));
        if (!pool.equals(orderedPool) || !runners.equals(orderedRunners)) {
            orderedPool = pool;
            orderedRunners = runners;
            order = GoalSeparation.order(pool, runners);
        }
        return order;
    }
}
