package org.bronzelug.daemon.operator;

import io.grpc.Context;
import io.grpc.Metadata;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.generate.RejectionException;
import org.bronzelug.daemon.settings.Settings;

/**
 * Checks the operators' secret. If the settings name no readable secret file, every operator's call
 * is rejected.
 */
@Singleton
public final class OperatorSecret {
    /** The gRPC context key of the digest of the secret in the current call's headers. */
    public static final Context.Key<KeyDigest> SECRET_DIGEST =
            Context.key("bronzelug-operator-digest");

    /** The header that carries the secret. */
    public static final Metadata.Key<String> HEADER =
            Metadata.Key.of("bronzelug-operator", Metadata.ASCII_STRING_MARSHALLER);

    private final Optional<KeyDigest> expected;

    @Inject
    public OperatorSecret(Settings settings) {
        expected = read(settings.operatorSecretFile());
    }

    private static Optional<KeyDigest> read(String file) {
        if (file.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(KeyDigest.of(Files.readString(Path.of(file)).strip()));
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }

    /** Rejects the current call unless it carries the secret. */
    public void check() throws RejectionException {
        KeyDigest actual = SECRET_DIGEST.get();
        boolean matches =
                expected.isPresent()
                        && actual != null
                        && MessageDigest.isEqual(expected.get().bytes(), actual.bytes());
        if (!matches) {
            throw RejectionException.notRun(
                    ProblemCode.OPERATOR_REFUSED,
                    "the operators' secret is wrong or missing",
                    "set BRONZELUG_OPERATOR_SECRET_FILE, and operatorSecretFile in the daemon's"
                            + " settings",
                    0);
        }
    }
}
