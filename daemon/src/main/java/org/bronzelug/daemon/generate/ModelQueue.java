package org.bronzelug.daemon.generate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.bronzelug.core.fairness.FairQueue;
import org.bronzelug.core.placement.CacheEstimate;
import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PlacementPolicy;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.RunnerLoad;
import org.bronzelug.daemon.runner.Endpoint;

/**
 * The requests for one pool that wait for a runner, and the placement of the next one.
 *
 * <p>Invariant: a request is given to an endpoint only if the endpoint is usable at that moment and
 * has a free slot; each slot given is given back once. Thread-safe under its own lock.
 */
final class ModelQueue {
    private static final int TRACKED_PREFIXES_PER_RUNNER = 20_000;
    private static final long BELIEF_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int RECENT_WAITS = 8;

    private final String pool;
    private final int slotsPerRunner;
    private final Supplier<List<Endpoint>> usable;
    private final PlacementPolicy policy;
    private final FairQueue<Waiter> queue;
    private final CacheEstimate cacheEstimate =
            new CacheEstimate(TRACKED_PREFIXES_PER_RUNNER, BELIEF_NANOS, System.nanoTime());
    private final Map<Endpoint, Integer> used = new HashMap<>();
    private double recentWaitNanos;

    ModelQueue(
            String pool,
            int slotsPerRunner,
            int capacity,
            Supplier<List<Endpoint>> usable,
            PlacementPolicy policy) {
        this.pool = pool;
        this.slotsPerRunner = slotsPerRunner;
        this.usable = usable;
        this.policy = policy;
        this.queue = new FairQueue<>(capacity);
    }

    /** A runner's slot, given to one attempt. */
    record Slot(Endpoint endpoint, Placement placement) {}

    /** One request that waits. */
    private record Waiter(PrefixChain chain, Set<String> avoided, CompletableFuture<Slot> slot) {}

    /**
     * Waits for a slot in fair order.
     *
     * @param avoided endpoints that failed this request; used only if there is no other
     * @param cancelled completes when the caller gives the request up
     */
    Slot acquire(
            String team,
            PrefixChain chain,
            Set<String> avoided,
            long untilNanos,
            CompletableFuture<Void> cancelled)
            throws RejectionException, InterruptedException {
        long arrived = System.nanoTime();
        Waiter waiter = new Waiter(chain, Set.copyOf(avoided), new CompletableFuture<>());
        enqueue(team, waiter);
        cancelled.thenRun(() -> waiter.slot.cancel(false));
        pump();
        try {
            long left = Math.max(0, untilNanos - System.nanoTime());
            Slot slot = waiter.slot.get(left, TimeUnit.NANOSECONDS);
            noteWait(System.nanoTime() - arrived);
            return slot;
        } catch (TimeoutException late) {
            giveUp(team, waiter);
            throw RejectionException.notRun(
                    ProblemCode.DEADLINE,
                    "no runner was free before the deadline",
                    "come back later, or allow a longer deadline",
                    retryAfterMillis());
        } catch (CancellationException givenUp) {
            giveUp(team, waiter);
            throw RejectionException.notRun(
                    ProblemCode.CANCELLED, "the caller cancelled", "ask again if need be", 0);
        } catch (InterruptedException stopping) {
            giveUp(team, waiter);
            throw stopping;
        } catch (ExecutionException displaced) {
            throw (RejectionException) displaced.getCause();
        }
    }

    private void enqueue(String team, Waiter waiter) {
        Optional<Waiter> givenUp;
        synchronized (this) {
            givenUp = queue.offer(team, waiter, waiter.chain.tokens());
        }
        givenUp.ifPresent(
                displaced -> displaced.slot.completeExceptionally(tooMany(retryAfterMillis())));
    }

    private RejectionException tooMany(long retryAfterMillis) {
        return RejectionException.notRun(
                ProblemCode.OVERLOADED,
                "too many requests wait for pool " + pool,
                "come back later",
                retryAfterMillis);
    }

    /**
     * Ends a wait. The slot may be granted in this very moment: whoever comes second to the
     * waiter's future, this or {@link #grant}, gives the slot back, so that it is done exactly
     * once.
     */
    private void giveUp(String team, Waiter waiter) {
        synchronized (this) {
            queue.remove(team, waiter);
        }
        boolean granted = !waiter.slot.cancel(false);
        if (granted) {
            giveBackUnused(waiter, waiter.slot.join());
        }
    }

    private void grant(Waiter waiter, Slot slot) {
        if (!waiter.slot.complete(slot)) {
            giveBackUnused(waiter, slot);
        }
    }

    private void giveBackUnused(Waiter waiter, Slot slot) {
        slot.endpoint.prefilled(missingTokens(waiter, slot.placement));
        slot.endpoint.end();
        release(slot.endpoint);
    }

    /** Gives a slot back. */
    void release(Endpoint endpoint) {
        synchronized (this) {
            used.merge(endpoint, -1, Integer::sum);
            used.remove(endpoint, 0);
        }
        pump();
    }

    /** Places requests as long as there are free slots; called for each report of an endpoint. */
    void pump() {
        List<Runnable> granted = new ArrayList<>();
        synchronized (this) {
            if (queue.size() == 0) {
                return;
            }
            Map<String, Endpoint> free = freeEndpoints();
            while (!free.isEmpty()) {
                Optional<Waiter> next = queue.poll();
                if (next.isEmpty()) {
                    break;
                }
                Slot slot = place(next.get(), free);
                granted.add(() -> grant(next.get(), slot));
                free = freeEndpoints();
            }
        }
        granted.forEach(Runnable::run);
    }

    private Map<String, Endpoint> freeEndpoints() {
        Map<String, Endpoint> free = new HashMap<>();
        for (Endpoint endpoint : usable.get()) {
            if (used.getOrDefault(endpoint, 0) < slotsPerRunner) {
                free.put(endpoint.name(), endpoint);
            }
        }
        return free;
    }

    private Slot place(Waiter waiter, Map<String, Endpoint> free) {
        List<RunnerLoad> loads = new ArrayList<>();
        for (Endpoint endpoint : free.values()) {
            if (!waiter.avoided.contains(endpoint.name())) {
                loads.add(endpoint.load());
            }
        }
        if (loads.isEmpty()) {
            free.values().forEach(endpoint -> loads.add(endpoint.load()));
        }
        long now = System.nanoTime();
        Placement placement = policy.choose(waiter.chain, loads, cacheEstimate, now).orElseThrow();
        Endpoint endpoint = free.get(placement.runner());
        used.merge(endpoint, 1, Integer::sum);
        endpoint.begin(missingTokens(waiter, placement));
        cacheEstimate.recordCached(placement.runner(), placement.incarnation(), waiter.chain, now);
        return new Slot(endpoint, placement);
    }

    /** The tokens that a placed request is expected to prefill. */
    static int missingTokens(PrefixChain chain, Placement placement) {
        return Math.max(0, chain.tokens() - placement.estimatedCachedTokens());
    }

    private static int missingTokens(Waiter waiter, Placement placement) {
        return missingTokens(waiter.chain, placement);
    }

    /** Learns from a runner what it really found in its cache. */
    synchronized void learn(Slot slot, PrefixChain chain, int cachedTokens) {
        String runner = slot.placement.runner();
        String incarnation = slot.placement.incarnation();
        if (cachedTokens < slot.placement.estimatedCachedTokens()) {
            cacheEstimate.recordFound(runner, incarnation, chain, cachedTokens);
        }
        cacheEstimate.recordCached(runner, incarnation, chain, System.nanoTime());
    }

    /** Forgets what an endpoint had cached. */
    synchronized void forget(Endpoint endpoint) {
        cacheEstimate.forget(endpoint.name());
    }

    private synchronized void noteWait(long nanos) {
        recentWaitNanos += (nanos - recentWaitNanos) / RECENT_WAITS;
    }

    /** When a request that was given up should come back: after a wait as of late. */
    private synchronized long retryAfterMillis() {
        return Math.max(100, TimeUnit.NANOSECONDS.toMillis((long) recentWaitNanos) * 2);
    }
}
