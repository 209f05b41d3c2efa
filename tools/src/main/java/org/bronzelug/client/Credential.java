package org.bronzelug.client;

import io.grpc.CallCredentials;
import io.grpc.Metadata;
import java.util.concurrent.Executor;

/**
 * Sends a secret in a header of each call. Immutable. {@link #toString} does not reveal the secret.
 */
public final class Credential extends CallCredentials {
    private final Metadata.Key<String> header;
    private final String secret;

    private Credential(String header, String secret) {
        this.header = Metadata.Key.of(header, Metadata.ASCII_STRING_MARSHALLER);
        this.secret = secret;
    }

    /** Returns the credential of a team's key. */
    public static Credential ofKey(String key) {
        return new Credential("bronzelug-key", key);
    }

    /** Returns the credential of the operators' secret. */
    public static Credential ofOperator(String secret) {
        return new Credential("bronzelug-operator", secret);
    }

    @Override
    public void applyRequestMetadata(
            RequestInfo request, Executor executor, MetadataApplier applier) {
        Metadata headers = new Metadata();
        headers.put(header, secret);
        applier.apply(headers);
    }

    @Override
    public String toString() {
        return "credential";
    }
}
