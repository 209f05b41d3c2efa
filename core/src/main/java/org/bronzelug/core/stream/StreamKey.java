package org.bronzelug.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/**
 * A 128-bit hash that identifies a stream: of the team and of the id of the request that began it.
 * A team that names another team's request gets another key. Immutable.
 */
public record StreamKey(long high, long low) {
    /** Separates the team from the id; neither contains it. */
    private static final char SEPARATOR = '\0';

    /**
     * Returns the key of a stream.
     *
     * @param team name of the team that began the stream; empty for a request without a key
     */
    public static StreamKey of(Optional<String> team, String requestId) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            String text = team.orElse("") + SEPARATOR + requestId;
            ByteBuffer digest =
                    ByteBuffer.wrap(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
            return new StreamKey(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException unavailable) {
            throw new IllegalStateException("the Java runtime has no SHA-256", unavailable);
        }
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
