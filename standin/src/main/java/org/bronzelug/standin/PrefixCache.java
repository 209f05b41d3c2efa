package org.bronzelug.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine's cache of prompt prefixes: bounded by its tokens, evicts the least recently used
 * first.
 *
 * <p>Thread-safe.
 */
final class PrefixCache {
    private final int capacityTokens;
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private int usedTokens;

    PrefixCache(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Looks up a prompt, and caches its missing prefixes.
     *
     * @return the number of tokens in the longest prefix that was cached
     */
    synchronized int lookUpAndFill(String salt, List<String> segments) {
        int cached = 0;
        int before = 0;
        boolean hit = true;
        StringBuilder prefix = new StringBuilder(salt);
        for (String segment : segments) {
            prefix.append('\u0000').append(segment);
            int tokens = StandinTokens.count(segment);
            String key = StandinTokens.digest(prefix.toString());
            hit = hit && tokensByPrefix.get(key) != null;
            if (hit) {
                cached = before + tokens;
            } else if (tokensByPrefix.put(key, tokens) == null) {
                usedTokens += tokens;
            }
            before += tokens;
        }
        evict();
        return cached;
    }

    synchronized void clear() {
        tokensByPrefix.clear();
        usedTokens = 0;
    }

    private void evict() {
        var eldest = tokensByPrefix.entrySet().iterator();
        while (usedTokens > capacityTokens && eldest.hasNext()) {
            usedTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
