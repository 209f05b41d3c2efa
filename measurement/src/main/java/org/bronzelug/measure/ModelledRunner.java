package org.bronzelug.measure;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.PrefixLevel;

/**
 * A simple model of an inference engine: it runs one prefill at a time, generates with continuous
 * batching, and has a prefix cache of limited size. Not thread-safe; times are virtual.
 */
final class ModelledRunner {
    static final double NANOS_PER_PREFILL_TOKEN = 100_000;
    private static final double NANOS_PER_OUTPUT_TOKEN = 8_000_000;
    private static final double NANOS_PER_CONCURRENT_STREAM = 200_000;
    private static final int CACHE_TOKENS = 60_000;

    private final String name;
    private final Map<PrefixHash, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private int incarnation;
    private long prefillFreeAt;
    private int runningStreams;
    private boolean departed;

    ModelledRunner(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    String incarnation() {
        return Integer.toString(incarnation);
    }

    boolean hasDeparted() {
        return departed;
    }

    void leave() {
        departed = true;
    }

    void crash(long now) {
        incarnation++;
        cache.clear();
        cachedTokens = 0;
        prefillFreeAt = now;
    }

    int runningStreams() {
        return runningStreams;
    }

    /** Returns the queued prefill work, in tokens. */
    double queuedTokens(long now) {
        return Math.max(0, prefillFreeAt - now) / NANOS_PER_PREFILL_TOKEN;
    }

    /** Returns how many tokens of the prompt are cached. */
    int cachedTokens(PrefixChain chain) {
        int cached = 0;
        for (PrefixLevel level : chain.levels()) {
            if (!cache.containsKey(level.hash())) {
                break;
            }
            cached = level.tokens();
        }
        return cached;
    }

    /**
     * Queues the prefill of a prompt and adds the prompt to the cache.
     *
     * @return the time at which its first token is generated
     */
    long prefill(PrefixChain chain, long now) {
        int uncachedTokens = chain.tokens() - cachedTokens(chain);
        addToCache(chain);
        long start = Math.max(now, prefillFreeAt);
        prefillFreeAt = start + (long) (uncachedTokens * NANOS_PER_PREFILL_TOKEN);
        runningStreams++;
        return prefillFreeAt + (long) (NANOS_PER_CONCURRENT_STREAM * runningStreams);
    }

    /** Returns the duration of the generation after the first token, in nanoseconds. */
    long generationNanos(int outputTokens) {
        return (long)
                (outputTokens
                        * (NANOS_PER_OUTPUT_TOKEN + NANOS_PER_CONCURRENT_STREAM * runningStreams));
    }

    void finishStream() {
        runningStreams--;
    }

    private void addToCache(PrefixChain chain) {
        int tokensBefore = 0;
        for (PrefixLevel level : chain.levels()) {
            if (cache.put(level.hash(), level.tokens() - tokensBefore) == null) {
                cachedTokens += level.tokens() - tokensBefore;
            }
            tokensBefore = level.tokens();
        }
        Iterator<Integer> leastRecentlyUsed = cache.values().iterator();
        while (cachedTokens > CACHE_TOKENS) {
            cachedTokens -= leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
        }
    }
}
