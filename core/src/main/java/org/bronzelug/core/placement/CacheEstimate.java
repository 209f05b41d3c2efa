package org.bronzelug.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this VM believes the runners to have cached, from its own dispatches and their outcome.
 *
 * <p>Every entry belongs to one incarnation of one runner; a runner met with another incarnation
 * loses all its entries at once. The failure this guards against: an engine crashes and comes back
 * empty between look-up and dispatch, and a request relies on blocks that are gone. A belief only
 * ever steers the choice; the dispatch names the incarnation it relied upon, and a runner of
 * another one refuses it.
 *
 * <p>Memory is bounded for each runner, the least recently used entry going first, as in the
 * engine. Not thread-safe: guarded by its owner.
 */
public final class CacheEstimate {
    private final int entriesPerRunner;
    private final long lifetimeNanos;
    private final long startNanos;
    private final Map<String, RunnerEntries> runners = new HashMap<>();

    /**
     * @param entriesPerRunner prefixes remembered of one runner
     * @param lifetimeNanos an entry not used for so long is not believed any more
     * @param startNanos when this VM began to remember
     */
    public CacheEstimate(int entriesPerRunner, long lifetimeNanos, long startNanos) {
        this.entriesPerRunner = entriesPerRunner;
        this.lifetimeNanos = lifetimeNanos;
        this.startNanos = startNanos;
    }

    /** Notes that the runner's incarnation holds all levels that it prefilled for the prompt. */
    public void recordCached(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        Map<PrefixHash, Long> entries = entriesOf(runner, incarnation).lastUse;
        for (PrefixLevel level : chain.levels()) {
            entries.put(level.hash(), nowNanos);
        }
    }

    /** Notes that the runner's incarnation holds a level that another VM sent there. */
    public void recordLevel(String runner, String incarnation, PrefixHash level, long nowNanos) {
        entriesOf(runner, incarnation).lastUse.put(level, nowNanos);
    }

    /** Notes what a runner really found: deeper levels believed in before are forgotten. */
    public void recordFound(
            String runner, String incarnation, PrefixChain chain, int cachedTokens) {
        Map<PrefixHash, Long> entries = entriesOf(runner, incarnation).lastUse;
        for (PrefixLevel level : chain.levels()) {
            if (level.tokens() > cachedTokens) {
                entries.remove(level.hash());
            }
        }
    }

    /** Notes that the runner has dropped a prefix. */
    public void recordEvicted(String runner, String incarnation, PrefixHash hash) {
        entriesOf(runner, incarnation).lastUse.remove(hash);
    }

    /** Forgets all of a runner: it left, crashed, or its events had a gap. */
    public void forget(String runner) {
        runners.remove(runner);
    }

    /** The tokens of the prompt that the runner's incarnation is believed to hold. */
    public int cachedTokens(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        RunnerEntries entries = runners.get(runner);
        if (entries == null || !entries.incarnation.equals(incarnation)) {
            return 0;
        }
        int cached = 0;
        for (PrefixLevel level : chain.levels()) {
            Optional<Long> lastUse = Optional.ofNullable(entries.lastUse.get(level.hash()));
            if (lastUse.isEmpty() || nowNanos - lastUse.get() > lifetimeNanos) {
                break;
            }
            cached = level.tokens();
        }
        return cached;
    }

    /**
     * Whether a prefix not believed in is likely not to be cached: this VM has remembered for as
     * long as an entry lives. Before that, just after a restart, it may well be cached.
     */
    public boolean isComplete(long nowNanos) {
        return nowNanos - startNanos >= lifetimeNanos;
    }

    /** Prefixes remembered over all runners. */
    public int size() {
        return runners.values().stream().mapToInt(entries -> entries.lastUse.size()).sum();
    }

    private RunnerEntries entriesOf(String runner, String incarnation) {
        RunnerEntries held = runners.get(runner);
        if (held == null || !held.incarnation.equals(incarnation)) {
            held = new RunnerEntries(incarnation, entriesPerRunner);
            runners.put(runner, held);
        }
        return held;
    }

    /** The prefixes of one runner incarnation, in the order of their last use. */
    private static final class RunnerEntries {
        private static final float LOAD_FACTOR = 0.75f;
        private static final int INITIAL_CAPACITY = 16;

        private final String incarnation;
        private final Map<PrefixHash, Long> lastUse;

        private RunnerEntries(String incarnation, int capacity) {
            this.incarnation = incarnation;
            this.lastUse =
                    new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<PrefixHash, Long> eldest) {
                            return size() > capacity;
                        }
                    };
        }
    }
}
