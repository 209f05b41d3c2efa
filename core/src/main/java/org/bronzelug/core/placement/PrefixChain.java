package org.bronzelug.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * The nested levels of one prompt, the shortest first. Each level extends the previous one by one
 * segment of the prompt, and its hash covers all text from the prompt's start.
 *
 * <p>Invariant: two chains share a level's hash only if team, model, weights version and all text
 * up to that level are equal. A look-up by this hash therefore never finds a cache entry of another
 * team or of older weights. Immutable.
 *
 * @param salt by which the runner separates the cached blocks of different teams, models and
 *     weights
 * @param levels the shortest first; never empty
 */
public record PrefixChain(String salt, List<PrefixLevel> levels) {
    /** Bytes of text per metered token (docs/SCHEMA.md "Metered tokens"). */
    public static final int BYTES_PER_TOKEN = 4;

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.murmur_3();

    public PrefixChain {
        levels = List.copyOf(levels);
    }

    /** Builds the chain of a prompt from the text of its segments. */
    public static PrefixChain of(
            String team, String model, long weightsVersion, List<String> segments) {
        String salt = salt(team, model, weightsVersion);
        List<PrefixLevel> levels = new ArrayList<>();
        PrefixHash parent = hash(salt.getBytes(StandardCharsets.UTF_8));
        int bytes = 0;
        for (String segment : segments) {
            byte[] text = segment.getBytes(StandardCharsets.UTF_8);
            bytes += text.length;
            parent = childHash(parent, text);
            levels.add(new PrefixLevel(parent, tokens(bytes)));
        }
        return new PrefixChain(salt, levels);
    }

    /** Builds the chain of a prompt from the ids that the caller gives for its parts. */
    public static PrefixChain ofParts(String salt, List<PromptPart> parts) {
        List<PrefixLevel> levels = new ArrayList<>();
        PrefixHash parent = hash(salt.getBytes(StandardCharsets.UTF_8));
        int tokens = 0;
        for (PromptPart part : parts) {
            tokens += part.tokens();
            parent = childHash(parent, part.id().getBytes(StandardCharsets.UTF_8));
            levels.add(new PrefixLevel(parent, tokens));
        }
        return new PrefixChain(salt, levels);
    }

    /** Returns the salt that separates blocks by team, model and weights in the runner's cache. */
    public static String salt(String team, String model, long weightsVersion) {
        String text = team.length() + ":" + team + model.length() + ":" + model + weightsVersion;
        return hash(text.getBytes(StandardCharsets.UTF_8)).toString();
    }

    /** Returns the number of metered tokens in the given number of bytes. */
    public static int tokens(int bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    /** Returns the metered tokens of the whole prompt. */
    public int tokens() {
        return levels.get(levels.size() - 1).tokens();
    }

    /** Returns the shortest level, by which callers choose a VM. */
    public PrefixLevel root() {
        return levels.get(0);
    }

    /**
     * Returns the deepest level that other prompts are likely to share: the last but one, since the
     * last segment is the caller's own question, or the only level if there is just one.
     */
    public PrefixLevel deepestSharedLevel() {
        return levels.get(Math.max(0, levels.size() - 2));
    }

    /** Returns all levels up to the deepest shared one. */
    public List<PrefixLevel> sharedLevels() {
        return levels.subList(0, Math.max(1, levels.size() - 1));
    }

    private static PrefixHash childHash(PrefixHash parent, byte[] text) {
        PrefixHash segmentHash = hash(text);
        return hash(
                new long[] {
                    parent.high(), parent.low(), segmentHash.high(), segmentHash.low(), text.length
                });
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
