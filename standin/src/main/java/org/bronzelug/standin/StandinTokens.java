package org.bronzelug.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;

/**
 * The tokens of simulated engines: 4 bytes each. The output is a fixed function of the prompt.
 * Stateless and thread-safe.
 */
final class StandinTokens {
    private static final int BYTES_PER_TOKEN = 4;

    private StandinTokens() {}

    static int count(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    static int count(List<String> segments) {
        return segments.stream().mapToInt(StandinTokens::count).sum();
    }

    static String digest(String text) {
        return UUID.nameUUIDFromBytes(text.getBytes(StandardCharsets.UTF_8)).toString();
    }

    /** Returns the output token at an offset, the same on every runner, as with a fixed seed. */
    static String output(String promptDigest, int offset) {
        return "t" + Integer.toHexString((promptDigest + offset).hashCode() & 0xfff) + " ";
    }
}
