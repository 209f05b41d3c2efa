package org.bronzelug.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.fairness.FairQueue;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.placement.CacheEstimate;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PlacementSettings;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.RunnerLoad;

/**
 * An entry VM of a run: the shipped queue, belief and placement, or a baseline in their place. It
 * sees its own requests at once and the runners' reports with a lag. Not thread-safe.
 */
final class ModelledVm {
    private static final long REPORT_LAG = Simulation.SECOND / 4;
    private static final int BELIEVED = 20_000;
    private static final long BELIEF_LIFETIME = 30 * Simulation.SECOND;
    private static final int WAITING = 2_000;

    private final Simulation simulation;
    private final Policy policy;
    private final List<ModelledRunner> runners;
    private final long delay;
    private final int streamsPerRunner;
    private final PlacementPolicy placement = new PlacementPolicy(PlacementSettings.defaults());
    private final Map<String, Long> reportedAt = new HashMap<>();
    private final Map<String, LoadEstimate> estimates = new HashMap<>();
    private CacheEstimate cacheEstimate = new CacheEstimate(BELIEVED, BELIEF_LIFETIME, 0);
    private FairQueue<Request> queue = new FairQueue<>(WAITING);
    private int turn;

    ModelledVm(
            Simulation simulation,
            Policy policy,
            List<ModelledRunner> runners,
            RunSettings settings) {
        this.simulation = simulation;
        this.policy = policy;
        this.runners = runners;
        this.delay = settings.profile().vmToRunnerNanos();
        this.streamsPerRunner = settings.streamsPerRunner();
    }

    /** Forgets all, as a restarted daemon; callers ask again for what was waiting. */
    void restart() {
        FairQueue<Request> before = queue;
        cacheEstimate = new CacheEstimate(BELIEVED, BELIEF_LIFETIME, simulation.now());
        queue = new FairQueue<>(WAITING);
        reportedAt.clear();
        for (Optional<Request> left = before.poll(); left.isPresent(); left = before.poll()) {
            take(left.get());
        }
    }

    void take(Request request) {
        String team = policy == Policy.NO_FAIRNESS ? "all" : request.team();
        queue.offer(team, request, request.chain().tokens())
                .ifPresent(simulation::refuseForWantOfRoom);
        pump();
    }

    private void pump() {
        while (queue.size() > 0) {
            List<ModelledRunner> free = free();
            if (free.isEmpty()) {
                return;
            }
            Request next = queue.poll().orElseThrow();
            dispatch(next, choose(next.chain(), free));
        }
    }

    private List<ModelledRunner> free() {
        List<ModelledRunner> free = new ArrayList<>();
        for (ModelledRunner runner : runners) {
            boolean slot = estimate(runner).ownStreams() < streamsPerRunner;
            if (!runner.isDead() && slot) {
                free.add(runner);
            }
        }
        return free;
    }

    private ModelledRunner choose(PrefixChain chain, List<ModelledRunner> free) {
        return switch (policy) {
            case ROUND_ROBIN -> free.get(turn++ % free.size());
            case LEAST_LOAD -> leastLoadedEndpoint(free);
            case RENDEZVOUS -> byHash(chain, free);
            case ORACLE -> byOracle(chain, free);
            default -> byShippedPolicy(chain, free);
        };
    }

    private ModelledRunner leastLoadedEndpoint(List<ModelledRunner> free) {
        ModelledRunner best = free.get(0);
        for (ModelledRunner runner : free) {
            if (load(runner).queuedPrefillTokens() < load(best).queuedPrefillTokens()) {
                best = runner;
            }
        }
        return best;
    }

    private static ModelledRunner byHash(PrefixChain chain, List<ModelledRunner> free) {
        List<String> names = free.stream().map(ModelledRunner::name).toList();
        String first =
                Rendezvous.first(chain.deepestSharedLevel().hash().toString(), names).orElseThrow();
        return free.get(names.indexOf(first));
    }

    private ModelledRunner byOracle(PrefixChain chain, List<ModelledRunner> free) {
        ModelledRunner best = free.get(0);
        double least = Double.MAX_VALUE;
        for (ModelledRunner runner : free) {
            int missing = chain.tokens() - runner.cachedTokens(chain);
            double cost = runner.queuedTokens(simulation.now()) + missing;
            if (cost < least) {
                least = cost;
                best = runner;
            }
        }
        return best;
    }

    private ModelledRunner byShippedPolicy(PrefixChain chain, List<ModelledRunner> free) {
        List<RunnerLoad> loads = free.stream().map(this::load).toList();
        Placement chosen =
                placement.choose(chain, loads, cacheEstimate, simulation.now()).orElseThrow();
        return free.stream()
                .filter(runner -> runner.name().equals(chosen.runner()))
                .findFirst()
                .orElseThrow();
    }

    private RunnerLoad load(ModelledRunner runner) {
        long now = simulation.now();
        long last = reportedAt.getOrDefault(runner.name(), Long.MIN_VALUE / 2);
        if (now - last > REPORT_LAG) {
            reportedAt.put(runner.name(), now);
            estimate(runner).report(runner.queuedTokens(now), runner.running());
        }
        return estimate(runner).load(runner.name(), runner.incarnation());
    }

    private LoadEstimate estimate(ModelledRunner runner) {
        return estimates.computeIfAbsent(runner.name(), ignored -> new LoadEstimate());
    }

    private void dispatch(Request request, ModelledRunner runner) {
        String name = runner.name();
        PrefixChain chain = request.chain();
        int believed =
                cacheEstimate.cachedTokens(name, runner.incarnation(), chain, simulation.now());
        double queued = Math.max(0, chain.tokens() - believed);
        estimate(runner).begin(queued);
        remember(runner, chain);
        long arrival = simulation.now() + delay;
        simulation.at(arrival, () -> arriveAt(runner, request, queued));
    }

    private void remember(ModelledRunner runner, PrefixChain chain) {
        if (policy != Policy.NO_BELIEF) {
            cacheEstimate.recordCached(
                    runner.name(), runner.incarnation(), chain, simulation.now());
        }
    }

    private void arriveAt(ModelledRunner runner, Request request, double queued) {
        int found = runner.cachedTokens(request.chain());
        long firstToken = simulation.prefill(request, runner);
        long end = firstToken + runner.generation(simulation.outputTokens());
        simulation.at(firstToken + delay, () -> estimate(runner).prefilled(queued));
        simulation.at(end + delay, () -> end(runner, request, found));
    }

    private void end(ModelledRunner runner, Request request, int found) {
        runner.end();
        estimate(runner).end();
        if (policy != Policy.NO_BELIEF) {
            cacheEstimate.recordFound(runner.name(), runner.incarnation(), request.chain(), found);
            remember(runner, request.chain());
        }
        pump();
    }
}
