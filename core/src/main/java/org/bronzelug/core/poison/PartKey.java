package org.bronzelug.core.poison;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What may crash the endpoints of one pool: a part of prompts, or a whole request. Immutable.
 *
 * @param pool the pool, since another pool may work on the same part without harm
 * @param id the part's id, or a hash of it if it is longer than {@link #MAXIMUM_ID_CHARACTERS}; for
 *     a request, its fingerprint after {@link #REQUEST_PREFIX}
 */
public record PartKey(String pool, String id) {
    /** Bounds the memory and the messages that callers can make VMs use. */
    static final int MAXIMUM_ID_CHARACTERS = 64;

    /** No part's id contains the colon. */
    private static final String REQUEST_PREFIX = "request:";

    /** Returns the key of a part with an id that a caller chose. */
    public static PartKey of(String pool, String id) {
        return new PartKey(pool, id.length() <= MAXIMUM_ID_CHARACTERS ? id : hash(id));
    }

    /**
     * Returns the key of a whole request.
     *
     * @param fingerprint a hash of what all attempts of the request have in common
     */
    public static PartKey ofRequest(String pool, String fingerprint) {
        return of(pool, REQUEST_PREFIX + fingerprint);
    }

    /** Returns whether this is the key of a whole request. */
    public boolean isRequest() {
        return id.startsWith(REQUEST_PREFIX);
    }

    private static String hash(String id) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(id.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException unavailable) {
            throw new IllegalStateException("the Java runtime has no SHA-256", unavailable);
        }
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof PartKey key && id.equals(key.id) && pool.equals(key.pool);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public int hashCode() {
        return 31 * pool.hashCode() + id.hashCode();
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return pool + "/" + id;
    }
}
