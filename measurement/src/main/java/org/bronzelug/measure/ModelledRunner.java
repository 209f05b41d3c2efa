package org.bronzelug.measure;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzelug.core.placement.PrefixChain;
import org.bronzelug.core.placement.PrefixHash;
import org.bronzelug.core.placement.PrefixLevel;

/**
 * A small model of an engine: one prefill at a time, continuous batching of the generation, a
 * prefix cache of limited memory. Not thread-safe; times are virtual.
 */
final class ModelledRunner {
    static final double NANOS_PER_PREFILL_TOKEN = 100_000;
    private static final double NANOS_PER_OUTPUT_TOKEN = 8_000_000;
    private static final double NANOS_PER_OTHER_STREAM = 200_000;
    private static final int CACHE_TOKENS = 60_000;

    private final String name;
    private final Map<PrefixHash, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private int incarnation;
    private long prefillFreeAt;
    private int running;
    private boolean gone;

    ModelledRunner(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    String incarnation() {
        return Integer.toString(incarnation);
    }

    boolean isDead() {
        return gone;
    }

    void leave() {
        gone = true;
    }

    void crash(long now) {
        incarnation++;
        cache.clear();
        cachedTokens = 0;
        prefillFreeAt = now;
    }

    int running() {
        return running;
    }

    /** Work that waits for the prefill, in tokens. */
    double queuedTokens(long now) {
        return Math.max(0, prefillFreeAt - now) / NANOS_PER_PREFILL_TOKEN;
    }

    /** The tokens of a prompt that are cached now. */
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
     * Takes a prompt in.
     *
     * @return when its first token is generated
     */
    long prefill(PrefixChain chain, long now) {
        int missing = chain.tokens() - cachedTokens(chain);
        fill(chain);
        long begin = Math.max(now, prefillFreeAt);
        prefillFreeAt = begin + (long) (missing * NANOS_PER_PREFILL_TOKEN);
        running++;
        return prefillFreeAt + (long) (NANOS_PER_OTHER_STREAM * running);
    }

    /** How long the generation takes after the first token. */
    long generation(int outputTokens) {
        return (long) (outputTokens * (NANOS_PER_OUTPUT_TOKEN + NANOS_PER_OTHER_STREAM * running));
    }

    void end() {
        running--;
    }

    private void fill(PrefixChain chain) {
        int before = 0;
        for (PrefixLevel level : chain.levels()) {
            if (cache.put(level.hash(), level.tokens() - before) == null) {
                cachedTokens += level.tokens() - before;
            }
            before = level.tokens();
        }
        Iterator<Integer> eldest = cache.values().iterator();
        while (cachedTokens > CACHE_TOKENS) {
            cachedTokens -= eldest.next();
            eldest.remove();
        }
    }
}
