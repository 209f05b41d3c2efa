package org.bronzelug.core.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a team's key. Only the digest of a key is stored, never the key itself.
 *
 * <p>A key has 256 random bits, so it cannot be guessed from its unsalted hash. Immutable.
 */
public record KeyDigest(String hex) {
    private static final String KEY_PREFIX = "blk_";
    private static final int KEY_BYTES = 32;

    /** Computes the digest of a key as a caller presents it. */
    public static KeyDigest of(String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] digest = sha256.digest(key.getBytes(StandardCharsets.UTF_8));
            return new KeyDigest(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException unavailable) {
            throw new IllegalStateException("the Java runtime has no SHA-256", unavailable);
        }
    }

    public static KeyDigest ofBytes(byte[] digest) {
        return new KeyDigest(HexFormat.of().formatHex(digest));
    }

    public byte[] bytes() {
        return HexFormat.of().parseHex(hex);
    }

    /** Generates a new random key. */
    public static String newKey(SecureRandom random) {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return KEY_PREFIX + HexFormat.of().formatHex(bytes);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public boolean equals(Object object) {
        return object instanceof KeyDigest other && hex.equals(other.hex);
    }

    @Override
    public int hashCode() {
        return hex.hashCode();
    }

    @Override
    public String toString() {
        return hex.substring(0, Math.min(8, hex.length())) + "…";
    }
}
