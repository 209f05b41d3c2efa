package org.bronzelug.daemon.caller;

import io.grpc.Context;
import io.grpc.Metadata;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlView;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.generate.RejectionException;

/**
 * Authenticates callers: maps the digest of a key to the team that the key belongs to now.
 *
 * <p>Invariant: only the digest of a key leaves {@link HeaderInterceptor}, and a team is returned
 * only while this VM's configuration is certainly within the staleness bound. So a withdrawn key is
 * rejected at each call, also on connections that are already open and on a VM that is cut off from
 * the platform and its peers. Thread-safe.
 */
@Singleton
public final class CallerKeys {
    /** The gRPC context key of the digest of the key in the current call's headers. */
    public static final Context.Key<KeyDigest> KEY_DIGEST = Context.key("bronzelug-key-digest");

    static final Metadata.Key<String> HEADER =
            Metadata.Key.of("bronzelug-key", Metadata.ASCII_STRING_MARSHALLER);

    private final ControlState state;

    @Inject
    public CallerKeys(ControlState state) {
        this.state = state;
    }

    /**
     * Returns the team of a key.
     *
     * @throws RejectionException if the configuration is too old, or the key is unknown or
     *     withdrawn
     */
    public String teamOf(KeyDigest key) throws RejectionException {
        ControlView view = state.view();
        if (!view.isFresh(System.nanoTime())) {
            throw RejectionException.notRun(
                    ProblemCode.NOT_FRESH,
                    "this VM has had no word of the configuration for too long",
                    "use another VM; this one comes back by itself",
                    TimeUnit.NANOSECONDS.toMillis(view.stalenessBoundNanos()));
        }
        Optional<String> team = view.catalog().teamOf(key);
        if (team.isEmpty()) {
            throw RejectionException.notRun(
                    ProblemCode.KEY_REFUSED,
                    "the key is unknown or withdrawn",
                    "ask the operators for a key",
                    0);
        }
        return team.get();
    }
}
