package org.bronzelug.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What this VM believes the runners to have cached, from its own dispatches and their outcome.
 *
 * <p>Every entry belongs to one incarnation of one runner; a runner met with another incarnation
 * loses all its entries at once. The failure this guards against: an engine crashes and comes back
 * empty between look-up and dispatch, and a request relies on blocks that are gone. A belief only
 * ever steers the choice; the dispatch names the incarnation it relied upon, and a runner of
 * another one refuses it.
 *
 * <p>Memory is bounded for each runner, in entries and in tokens, the least recently used going
 * first, as in the engine. A prefix that is being read is expected there: others like it meet there
 * instead of being read twice, but it can't be fetched from there yet.
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class CacheBelief {
    /** A prompt that was sent is read within this, or its runner is too slow to wait for. */
    private static final long EXPECTED_NANOS = 1_500_000_000L;

    private final int entriesPerRunner;
    private final long lifetimeNanos;
    private final long startNanos;
    private final Map<String, RunnerEntries> runners = new HashMap<>();
    private long tokensPerRunner = Long.MAX_VALUE;

    /**
     * @param entriesPerRunner prefixes remembered of one runner
     * @param lifetimeNanos an entry not used for so long is not believed any more
     * @param startNanos when this VM began to remember
     */
    public CacheBelief(int entriesPerRunner, long lifetimeNanos, long startNanos) {
        this.entriesPerRunner = entriesPerRunner;
        this.lifetimeNanos = lifetimeNanos;
        this.startNanos = startNanos;
    }

    /**
     * Bounds what is believed of one runner by the engine's memory.
     *
     * @param tokens that its memory holds; what does not fit was evicted
     */
    public void limitTokens(long tokens) {
        tokensPerRunner = tokens;
    }

    /** Notes that the runner's incarnation holds all levels that it prefilled for the prompt. */
    public void recordCached(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        int before = 0;
        for (PrefixLevel level : chain.levels()) {
            recordLevel(runner, incarnation, level.hash(), level.tokens() - before, nowNanos);
            before = level.tokens();
        }
    }

    /**
     * Notes that the runner's incarnation holds a level that another VM sent there.
     *
     * @param tokens of this level alone
     */
    public void recordLevel(
            String runner, String incarnation, PrefixHash level, int tokens, long nowNanos) {
        RunnerEntries entries = entriesOf(runner, incarnation);
        entries.put(level, new Entry(tokens, nowNanos));
        entries.evict(entriesPerRunner, tokensPerRunner);
    }

    /** Notes that the runner's incarnation is about to prefill the prompt. */
    public void recordExpected(
            String runner, String incarnation, PrefixChain chain, long nowNanos) {
        RunnerEntries entries = entriesOf(runner, incarnation);
        entries.expected.values().removeIf(since -> nowNanos - since > EXPECTED_NANOS);
        for (PrefixLevel level : chain.sharedLevels()) {
            entries.expected.put(level.hash(), nowNanos);
        }
    }

    /** Notes what a runner really found: deeper levels believed in before are forgotten. */
    public void recordFound(
            String runner, String incarnation, PrefixChain chain, int cachedTokens) {
        RunnerEntries entries = entriesOf(runner, incarnation);
        for (PrefixLevel level : chain.levels()) {
            if (level.tokens() > cachedTokens) {
                entries.remove(level.hash());
            }
        }
    }

    /** Notes that the runner has dropped a prefix. */
    public void recordEvicted(String runner, String incarnation, PrefixHash hash) {
        entriesOf(runner, incarnation).remove(hash);
    }

    /** Forgets all of a runner: it left, crashed, or its events had a gap. */
    public void forget(String runner) {
        runners.remove(runner);
    }

    /**
     * The tokens of the prompt that the runner's incarnation is believed to hold when it begins
     * with a prompt that is sent now.
     */
    public int cachedTokens(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        return tokens(runner, incarnation, chain, true, nowNanos);
    }

    /** The tokens of the prompt that can be fetched from the runner's incarnation now. */
    public int readTokens(String runner, String incarnation, PrefixChain chain, long nowNanos) {
        return tokens(runner, incarnation, chain, false, nowNanos);
    }

    private int tokens(
            String runner,
            String incarnation,
            PrefixChain chain,
            boolean withExpected,
            long nowNanos) {
        RunnerEntries entries = runners.get(runner);
        if (entries == null || !entries.incarnation.equals(incarnation)) {
            return 0;
        }
        int cached = 0;
        for (PrefixLevel level : chain.levels()) {
            boolean held =
                    entries.holds(level.hash(), nowNanos - lifetimeNanos)
                            || withExpected
                                    && entries.expects(level.hash(), nowNanos - EXPECTED_NANOS);
            if (!held) {
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
        return runners.values().stream().mapToInt(entries -> entries.held.size()).sum();
    }

    private RunnerEntries entriesOf(String runner, String incarnation) {
        RunnerEntries held = runners.get(runner);
        if (held == null || !held.incarnation.equals(incarnation)) {
            held = new RunnerEntries(incarnation);
            runners.put(runner, held);
        }
        return held;
    }

    /**
     * A prefix that a runner holds.
     *
     * @param tokens of its last level alone
     * @param lastUseNanos when it was last used
     */
    private record Entry(int tokens, long lastUseNanos) {}

    /** The prefixes of one runner incarnation, in the order of their last use. */
    private static final class RunnerEntries {
        private final String incarnation;
        private final Map<PrefixHash, Entry> held = new LinkedHashMap<>();
        private final Map<PrefixHash, Long> expected = new HashMap<>();
        private long tokens;

        private RunnerEntries(String incarnation) {
            this.incarnation = incarnation;
        }

        private void put(PrefixHash hash, Entry entry) {
            remove(hash);
            held.put(hash, entry);
            expected.remove(hash);
            tokens += entry.tokens;
        }

        private void remove(PrefixHash hash) {
            Entry before = held.remove(hash);
            if (before != null) {
                tokens -= before.tokens;
            }
        }

        private void evict(int mostEntries, long mostTokens) {
            while (held.size() > mostEntries || tokens > mostTokens && held.size() > 1) {
                remove(held.keySet().iterator().next());
            }
        }

        private boolean holds(PrefixHash hash, long sinceNanos) {
            Entry entry = held.get(hash);
            return entry != null && entry.lastUseNanos >= sinceNanos;
        }

        private boolean expects(PrefixHash hash, long sinceNanos) {
            Long since = expected.get(hash);
            return since != null && since >= sinceNanos;
        }
    }
}
