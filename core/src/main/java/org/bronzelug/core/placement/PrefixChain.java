package org.bronzelug.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * The nested levels of one prompt, the outermost first.
 *
 * <p>Invariant: two chains share a level's hash only if team, model, weights version and all text
 * up to that level are equal. So no cache entry of another team or of older weights can ever be
 * found under it: the line "never relies on cache entries from another team or older weights" holds
 * by the name alone. Immutable.
 *
 * @param salt what the runner keeps cached blocks apart by
 * @param levels the outermost first; never empty
 */
public record PrefixChain(String salt, List<PrefixLevel> levels) {
    /** Bytes of text that count as one metered token (docs/SCHEMA.md "Metered tokens"). */
    public static final int BYTES_PER_TOKEN = 4;

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.murmur_3();

    public PrefixChain {
        levels = List.copyOf(levels);
    }

    /** Builds the chain of a prompt. */
    public static PrefixChain of(
            String team, String model, long weightsVersion, List<String> segments) {
        String salt = salt(team, model, weightsVersion);
        List<PrefixLevel> levels = new ArrayList<>();
        PrefixHash parent = hash(salt.getBytes(StandardCharsets.UTF_8));
        int bytes = 0;
        for (String segment : segments) {
            byte[] text = segment.getBytes(StandardCharsets.UTF_8);
            bytes += text.length;
            parent = next(parent, text);
            levels.add(new PrefixLevel(parent, tokens(bytes)));
        }
        return new PrefixChain(salt, levels);
    }

    /** Builds the chain of a prompt whose parts the caller names. */
    public static PrefixChain ofParts(String salt, List<PromptPart> parts) {
        List<PrefixLevel> levels = new ArrayList<>();
        PrefixHash parent = hash(salt.getBytes(StandardCharsets.UTF_8));
        int tokens = 0;
        for (PromptPart part : parts) {
            tokens += part.tokens();
            parent = next(parent, part.id().getBytes(StandardCharsets.UTF_8));
            levels.add(new PrefixLevel(parent, tokens));
        }
        return new PrefixChain(salt, levels);
    }

    /** Keeps a team's blocks apart in the runner's own cache, by team, model and weights. */
    public static String salt(String team, String model, long weightsVersion) {
        String text = team.length() + ":" + team + model.length() + ":" + model + weightsVersion;
        return hash(text.getBytes(StandardCharsets.UTF_8)).toString();
    }

    /** The metered tokens of so many bytes of text. */
    public static int tokens(int bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /** Metered tokens of the whole prompt. */
    public int tokens() {
        return levels.get(levels.size() - 1).tokens();
    }

    /** The outermost level: what callers are steered by. */
    public PrefixLevel root() {
        return levels.get(0);
    }

    /**
     * The deepest level that other prompts are likely to share: the last but one, since the last
     * segment is the caller's own question; the only one where there is no other.
     */
    public PrefixLevel deepestSharedLevel() {
        return levels.get(Math.max(0, levels.size() - 2));
    }

    /** The levels that other prompts are likely to share: all up to the deepest such one. */
    public List<PrefixLevel> sharedLevels() {
        return levels.subList(0, Math.max(1, levels.size() - 1));
    }

    private static PrefixHash next(PrefixHash parent, byte[] text) {
        PrefixHash own = hash(text);
        return hash(new long[] {parent.high(), parent.low(), own.high(), own.low(), text.length});
    }

    private static PrefixHash hash(byte[] bytes) {
        long[] result = HASH.hashBytes(bytes);
        return new PrefixHash(result[0], result[1]);
    }

    private static PrefixHash hash(long[] values) {
        long[] result = HASH.hashLongs(values);
        return new PrefixHash(result[0], result[1]);
    }
}
