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
 * Queues the requests for one pool until a runner has a free slot, and chooses the runner of each.
 *
 * <p>Invariant: a request is dispatched to an endpoint only if the endpoint is usable at that
 * moment and has a free slot; each granted slot is released exactly once. Thread-safe under its own
 * lock.
 */
final class ModelQueue {
    private static final int TRACKED_PREFIXES_PER_RUNNER = 20_000;
    private static final long CACHE_ENTRY_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final int AVERAGED_WAITS = 8;

    private final String pool;
    private final int slotsPerRunner;
    private final Supplier<List<Endpoint>> usableEndpoints;
    private final PlacementPolicy policy;
    private final FairQueue<Waiter> queue;
    private final CacheEstimate cacheEstimate =
            new CacheEstimate(
                    TRACKED_PREFIXES_PER_RUNNER, CACHE_ENTRY_LIFETIME_NANOS, System.nanoTime());
    private final Map<Endpoint, Integer> slotsInUse = new HashMap<>();
    private double averageWaitNanos;

    ModelQueue(
            String pool,
            int slotsPerRunner,
            int capacity,
            Supplier<List<Endpoint>> usableEndpoints,
            PlacementPolicy policy) {
        this.pool = pool;
        this.slotsPerRunner = slotsPerRunner;
        this.usableEndpoints = usableEndpoints;
        this.policy = policy;
        this.queue = new FairQueue<>(capacity);
    }

    /** A slot of a runner, granted to one attempt. */
    record Slot(Endpoint endpoint, Placement placement) {}

    /** A queued request. */
    private record Waiter(PrefixChain chain, Set<String> avoided, CompletableFuture<Slot> slot) {}

    /**
     * Waits for a slot. The slots are granted in fair order between the teams.
     *
     * @param avoided the endpoints at which this request failed; used only if no other is free
     * @param cancelled completes when the caller cancels the request
     */
    Slot acquire(
            String team,
            PrefixChain chain,
            Set<String> avoided,
            long deadlineNanos,
            CompletableFuture<Void> cancelled)
            throws RejectionException, InterruptedException {
        long arrivalNanos = System.nanoTime();
        Waiter waiter = new Waiter(chain, Set.copyOf(avoided), new CompletableFuture<>());
        enqueue(team, waiter);
        cancelled.thenRun(() -> waiter.slot.cancel(false));
        dispatch();
        try {
            long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
            Slot slot = waiter.slot.get(remainingNanos, TimeUnit.NANOSECONDS);
            recordWait(System.nanoTime() - arrivalNanos);
            return slot;
        } catch (TimeoutException deadlinePassed) {
            endWait(team, waiter);
            throw RejectionException.notRun(
                    ProblemCode.DEADLINE,
                    "no runner was free before the deadline",
                    "come back later, or allow a longer deadline",
                    retryAfterMillis());
        } catch (CancellationException callerCancelled) {
            endWait(team, waiter);
            throw RejectionException.notRun(
                    ProblemCode.CANCELLED, "the caller cancelled", "ask again if need be", 0);
        } catch (InterruptedException interrupted) {
            endWait(team, waiter);
            throw interrupted;
        } catch (ExecutionException rejected) {
            throw (RejectionException) rejected.getCause();
        }
    }

    private void enqueue(String team, Waiter waiter) {
        Optional<Waiter> displaced;
        synchronized (this) {
            displaced = queue.offer(team, waiter, waiter.chain.tokens());
        }
        displaced.ifPresent(
                rejected -> rejected.slot.completeExceptionally(overloaded(retryAfterMillis())));
    }

    private RejectionException overloaded(long retryAfterMillis) {
        return RejectionException.notRun(
                ProblemCode.OVERLOADED,
                "too many requests wait for pool " + pool,
                "come back later",
                retryAfterMillis);
    }

    /**
     * Ends a wait without a slot. A slot may be granted at the same moment: of this method and
     * {@link #grant}, the one that reaches the waiter's future second releases the slot, so it is
     * released exactly once.
     */
    private void endWait(String team, Waiter waiter) {
        synchronized (this) {
            queue.remove(team, waiter);
        }
        boolean granted = !waiter.slot.cancel(false);
        if (granted) {
            releaseUnused(waiter, waiter.slot.join());
        }
    }

    private void grant(Waiter waiter, Slot slot) {
        if (!waiter.slot.complete(slot)) {
            releaseUnused(waiter, slot);
        }
    }

    private void releaseUnused(Waiter waiter, Slot slot) {
        slot.endpoint.recordPrefilled(expectedPrefillTokens(waiter, slot.placement));
        slot.endpoint.recordEnded();
        release(slot.endpoint);
    }

    /** Releases a slot of an endpoint. */
    void release(Endpoint endpoint) {
        synchronized (this) {
            slotsInUse.merge(endpoint, -1, Integer::sum);
            slotsInUse.remove(endpoint, 0);
        }
        dispatch();
    }

    /**
     * Dispatches queued requests while there are free slots. Called when a request is queued, a
     * slot is released or an endpoint may have become usable.
     */
    void dispatch() {
        List<Runnable> grants = new ArrayList<>();
        synchronized (this) {
            if (queue.size() == 0) {
                return;
            }
            Map<String, Endpoint> free = freeEndpoints();
            while (!free.isEmpty()) {
                Optional<Waiter> nextWaiter = queue.poll();
                if (nextWaiter.isEmpty()) {
                    break;
                }
                Slot slot = place(nextWaiter.get(), free);
                grants.add(() -> grant(nextWaiter.get(), slot));
                free = freeEndpoints();
            }
        }
        grants.forEach(Runnable::run);
    }

    private Map<String, Endpoint> freeEndpoints() {
        Map<String, Endpoint> free = new HashMap<>();
        for (Endpoint endpoint : usableEndpoints.get()) {
            if (slotsInUse.getOrDefault(endpoint, 0) < slotsPerRunner) {
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
        slotsInUse.merge(endpoint, 1, Integer::sum);
        endpoint.recordSent(expectedPrefillTokens(waiter, placement));
        cacheEstimate.recordCached(placement.runner(), placement.incarnation(), waiter.chain, now);
        return new Slot(endpoint, placement);
    }

    /** Returns the prompt tokens that a placed request is expected to prefill. */
    static int expectedPrefillTokens(PrefixChain chain, Placement placement) {
        return Math.max(0, chain.tokens() - placement.estimatedCachedTokens());
    }

    private static int expectedPrefillTokens(Waiter waiter, Placement placement) {
        return expectedPrefillTokens(waiter.chain, placement);
    }

    /** Updates the cache estimate with the number of prompt tokens that a runner found cached. */
    synchronized void recordCompletion(Slot slot, PrefixChain chain, int cachedTokens) {
        String runner = slot.placement.runner();
        String incarnation = slot.placement.incarnation();
        if (cachedTokens < slot.placement.estimatedCachedTokens()) {
            cacheEstimate.recordFound(runner, incarnation, chain, cachedTokens);
        }
        cacheEstimate.recordCached(runner, incarnation, chain, System.nanoTime());
    }

    /** Clears the cache estimate of an endpoint. */
    synchronized void clearCacheEstimate(Endpoint endpoint) {
        cacheEstimate.removeRunner(endpoint.name());
    }

    private synchronized void recordWait(long nanos) {
        averageWaitNanos += (nanos - averageWaitNanos) / AVERAGED_WAITS;
    }

    /**
     * Returns the delay after which a caller may retry a rejected request: twice the recent average
     * wait, at least 100 ms.
     */
    private synchronized long retryAfterMillis() {
        return Math.max(100, TimeUnit.NANOSECONDS.toMillis((long) averageWaitNanos) * 2);
    }
}
