package org.bronzelug.daemon.peer;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The shared secret of all daemons. Both ends of a connection prove that they know it, without
 * sending it.
 *
 * <p>The proof is an HMAC-SHA-256 over the sender's role and the nonces of both ends, so it can be
 * neither replayed on another connection nor reflected to its sender. Immutable and thread-safe.
 */
public final class PeerSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final int MINIMUM_SECRET_CHARACTERS = 16;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    public PeerSecret(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Reads the secret from a file, without the white space around it. */
    public static PeerSecret read(Path file) throws IOException {
        String secret = Files.readString(file).strip();
        if (secret.length() < MINIMUM_SECRET_CHARACTERS) {
            throw new IOException(
                    file
                            + " holds "
                            + secret.length()
                            + " characters, expected "
                            + MINIMUM_SECRET_CHARACTERS
                            + " or more");
        }
        return new PeerSecret(secret);
    }

    /** The two ends of a connection. The ordinal is part of the proof. */
    public enum Role {
        CONNECTING,
        ACCEPTING
    }

    public ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    /** Computes the proof that the end with the given role sends. */
    public ByteString proof(Role role, ByteString acceptorNonce, ByteString connectorNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update((byte) role.ordinal());
            mac.update(acceptorNonce.toByteArray());
            mac.update(connectorNonce.toByteArray());
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("the Java runtime has no " + ALGORITHM, missing);
        }
    }

    /** Compares two proofs in constant time. */
    public static boolean matches(ByteString expected, ByteString actual) {
        return MessageDigest.isEqual(expected.toByteArray(), actual.toByteArray());
    }
}
