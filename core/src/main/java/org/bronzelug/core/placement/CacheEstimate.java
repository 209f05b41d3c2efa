package org.bronzelug.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates which prompt prefixes each runner has in its cache.
 *
 * <p>An entry is the hash of one level of a prompt (see {@link PrefixChain}) and the time of its
 * last use. Entries are added when this VM, or another VM that reports it, has sent a prompt to the
 * runner. They are removed when the runner reports fewer cached tokens or an eviction, and are
 * ignored after a fixed lifetime without use. A prompt's estimate is the deepest level up to which
 * all levels have an entry.
 *
 * <p>Invariant: all entries of a runner belong to one incarnation of it, that is, to one start of
 * its engine. Recording an entry for another incarnation discards the earlier ones. Without this,
 * an engine that crashes and restarts with an empty cache would still be credited with the blocks
 * that it lost. An engine may also restart between look-up and dispatch, so the estimate only
 * influences the choice of the runner: the request carries the incarnation that the choice relied
 * on, and a runner with another incarnation rejects it.
 *
 * <p>Memory is bounded for each runner; the least recently used entry is evicted first, as in the
 * engine. Not thread-safe: guarded by its owner.
 */
public final class CacheEstimate {
    private final int entriesPerRunner;
    private final long lifetimeNanos;
    private final long startNanos;
    private final Map<String, RunnerEntries> runners = new HashMap<>();

    /**
     * @param entriesPerRunner maximum number of prefixes recorded for one runner
     * @param lifetimeNanos time without use after which an entry is ignored
     * @param startNanos when this VM began to record
     */
    public CacheEstimate(int entriesPerRunner, long lifetimeNanos, long startNanos) {
        this.entriesPerRunner = entriesPerRunner;
        this.lifetimeNanos = lifetimeNanos;
        this.startNanos = startNanos;
    }

    /** Records that the incarnation of the runner has cached all levels of the prompt. */
    public void recordCached(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        Map<PrefixHash, Long> entries = entriesOf(runner, incarnation).lastUse;
        for (PrefixLevel level : chain.levels()) {
            entries.put(level.hash(), nowNanos);
        }
    }

    /** Records that the incarnation of the runner has cached a level sent by another VM. */
    public void recordLevel(String runner, String incarnation, PrefixHash level, long nowNanos) {
        entriesOf(runner, incarnation).lastUse.put(level, nowNanos);
    }

    /**
     * Records how many tokens of the prompt the runner found in its cache; removes the entries of
     * deeper levels.
     */
    public void recordFound(
            String runner, String incarnation, PrefixChain chain, int cachedTokens) {
        Map<PrefixHash, Long> entries = entriesOf(runner, incarnation).lastUse;
        for (PrefixLevel level : chain.levels()) {
            if (level.tokens() > cachedTokens) {
                entries.remove(level.hash());
            }
        }
    }

    /** Records that the runner has evicted a prefix. */
    public void recordEvicted(String runner, String incarnation, PrefixHash hash) {
        entriesOf(runner, incarnation).lastUse.remove(hash);
    }

    /** Removes all entries of a runner that left or crashed, or some of whose events were lost. */
    public void removeRunner(String runner) {
        runners.remove(runner);
    }

    /** Returns how many tokens of the prompt the incarnation of the runner probably has cached. */
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
     * Returns whether a prefix without an entry is probably not cached: this VM has recorded for at
     * least the lifetime of an entry. Before that, just after a restart, runners may have cached
     * prefixes that this VM has not recorded.
     */
    public boolean isComplete(long nowNanos) {
        return nowNanos - startNanos >= lifetimeNanos;
    }

    /** Returns the number of entries of all runners. */
    public int size() {
        return runners.values().stream().mapToInt(entries -> entries.lastUse.size()).sum();
    }

    private RunnerEntries entriesOf(String runner, String incarnation) {
        RunnerEntries entries = runners.get(runner);
        if (entries == null || !entries.incarnation.equals(incarnation)) {
            entries = new RunnerEntries(incarnation, entriesPerRunner);
            runners.put(runner, entries);
        }
        return entries;
    }

    /** The time of last use of each prefix of one runner incarnation, least recently used first. */
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
