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
 * A VM in a simulation run. Places requests with the production queue, cache estimate and placement
 * policy, or with a baseline policy. It knows its own requests immediately and refreshes a runner's
 * load report at most every 250 ms. Not thread-safe.
 */
final class ModelledVm {
    private static final long REPORT_INTERVAL = Simulation.SECOND / 4;
    private static final int TRACKED_PREFIXES_PER_RUNNER = 20_000;
    private static final long CACHE_ESTIMATE_LIFETIME = 30 * Simulation.SECOND;
    private static final int QUEUE_CAPACITY = 2_000;

    private final Simulation simulation;
    private final Policy policy;
    private final List<ModelledRunner> runners;
    private final long runnerDelayNanos;
    private final int streamsPerRunner;
    private final PlacementPolicy placement = new PlacementPolicy(PlacementSettings.defaults());
    private final Map<String, Long> reportedAt = new HashMap<>();
    private final Map<String, LoadEstimate> estimates = new HashMap<>();
    private CacheEstimate cacheEstimate =
            new CacheEstimate(TRACKED_PREFIXES_PER_RUNNER, CACHE_ESTIMATE_LIFETIME, 0);
    private FairQueue<Request> queue = new FairQueue<>(QUEUE_CAPACITY);
    private int roundRobinIndex;

    ModelledVm(
            Simulation simulation,
            Policy policy,
            List<ModelledRunner> runners,
            RunSettings settings) {
        this.simulation = simulation;
        this.policy = policy;
        this.runners = runners;
        this.runnerDelayNanos = settings.profile().vmToRunnerNanos();
        this.streamsPerRunner = settings.streamsPerRunner();
    }

    /**
     * Discards the cache estimate, the queue and the report times, as a restart of the daemon does.
     * Queued requests are enqueued again, as their callers retry them.
     */
    void restart() {
        FairQueue<Request> oldQueue = queue;
        cacheEstimate =
                new CacheEstimate(
                        TRACKED_PREFIXES_PER_RUNNER, CACHE_ESTIMATE_LIFETIME, simulation.now());
        queue = new FairQueue<>(QUEUE_CAPACITY);
        reportedAt.clear();
        for (Optional<Request> queued = oldQueue.poll();
                queued.isPresent();
                queued = oldQueue.poll()) {
            enqueue(queued.get());
        }
    }

    void enqueue(Request request) {
        String team = policy == Policy.NO_FAIRNESS ? "all" : request.team();
        queue.offer(team, request, request.chain().tokens())
                .ifPresent(simulation::rejectDroppedRequest);
        dispatchQueued();
    }

    private void dispatchQueued() {
        while (queue.size() > 0) {
            List<ModelledRunner> available = availableRunners();
            if (available.isEmpty()) {
                return;
            }
            Request next = queue.poll().orElseThrow();
            dispatch(next, choose(next.chain(), available));
        }
    }

    private List<ModelledRunner> availableRunners() {
        List<ModelledRunner> available = new ArrayList<>();
        for (ModelledRunner runner : runners) {
            boolean hasFreeSlot = estimate(runner).ownStreams() < streamsPerRunner;
            if (!runner.hasDeparted() && hasFreeSlot) {
                available.add(runner);
            }
        }
        return available;
    }

    private ModelledRunner choose(PrefixChain chain, List<ModelledRunner> available) {
        return switch (policy) {
            case ROUND_ROBIN -> available.get(roundRobinIndex++ % available.size());
            case LEAST_LOAD -> byLeastLoad(available);
            case RENDEZVOUS -> byRendezvousHash(chain, available);
            case ORACLE -> byOracle(chain, available);
            default -> byPlacementPolicy(chain, available);
        };
    }

    private ModelledRunner byLeastLoad(List<ModelledRunner> available) {
        ModelledRunner best = available.get(0);
        for (ModelledRunner runner : available) {
            if (load(runner).queuedPrefillTokens() < load(best).queuedPrefillTokens()) {
                best = runner;
            }
        }
        return best;
    }

    private static ModelledRunner byRendezvousHash(
            PrefixChain chain, List<ModelledRunner> available) {
        List<String> names = available.stream().map(ModelledRunner::name).toList();
        String first =
                Rendezvous.first(chain.deepestSharedLevel().hash().low(), names).orElseThrow();
        return available.get(names.indexOf(first));
    }

    private ModelledRunner byOracle(PrefixChain chain, List<ModelledRunner> available) {
        ModelledRunner best = available.get(0);
        double lowestCost = Double.MAX_VALUE;
        for (ModelledRunner runner : available) {
            int uncachedTokens = chain.tokens() - runner.cachedTokens(chain);
            double cost = runner.queuedTokens(simulation.now()) + uncachedTokens;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = runner;
            }
        }
        return best;
    }

    private ModelledRunner byPlacementPolicy(PrefixChain chain, List<ModelledRunner> available) {
        List<RunnerLoad> loads = available.stream().map(this::load).toList();
        Placement chosen =
                placement.choose(chain, loads, cacheEstimate, simulation.now()).orElseThrow();
        return available.stream()
                .filter(runner -> runner.name().equals(chosen.runner()))
                .findFirst()
                .orElseThrow();
    }

    private RunnerLoad load(ModelledRunner runner) {
        long now = simulation.now();
        long lastReport = reportedAt.getOrDefault(runner.name(), Long.MIN_VALUE / 2);
        if (now - lastReport > REPORT_INTERVAL) {
            reportedAt.put(runner.name(), now);
            estimate(runner).recordReport(runner.queuedTokens(now), runner.runningStreams());
        }
        return estimate(runner).load(runner.name(), runner.incarnation());
    }

    private LoadEstimate estimate(ModelledRunner runner) {
        return estimates.computeIfAbsent(runner.name(), ignored -> new LoadEstimate());
    }

    private void dispatch(Request request, ModelledRunner runner) {
        String name = runner.name();
        PrefixChain chain = request.chain();
        int estimatedCachedTokens =
                cacheEstimate.cachedTokens(name, runner.incarnation(), chain, simulation.now());
        double queued = Math.max(0, chain.tokens() - estimatedCachedTokens);
        estimate(runner).recordSent(queued);
        recordCached(runner, chain);
        long arrival = simulation.now() + runnerDelayNanos;
        simulation.at(arrival, () -> arriveAt(runner, request, queued));
    }

    private void recordCached(ModelledRunner runner, PrefixChain chain) {
        if (policy != Policy.NO_BELIEF) {
            cacheEstimate.recordCached(
                    runner.name(), runner.incarnation(), chain, simulation.now());
        }
    }

    private void arriveAt(ModelledRunner runner, Request request, double queued) {
        int found = runner.cachedTokens(request.chain());
        long firstToken = simulation.prefill(request, runner);
        long end = firstToken + runner.generationNanos(simulation.outputTokens());
        simulation.at(
                firstToken + runnerDelayNanos, () -> estimate(runner).recordPrefilled(queued));
        simulation.at(end + runnerDelayNanos, () -> end(runner, request, found));
    }

    private void end(ModelledRunner runner, Request request, int found) {
        runner.finishStream();
        estimate(runner).recordEnded();
        if (policy != Policy.NO_BELIEF) {
            cacheEstimate.recordFound(runner.name(), runner.incarnation(), request.chain(), found);
            recordCached(runner, request.chain());
        }
        dispatchQueued();
    }
}
