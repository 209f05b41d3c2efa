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
 * Which team a key belongs to, now.
 *
 * <p>Invariant: only the digest of a key leaves the call's interceptor, and a team is named only
 * while this VM's configuration is surely younger than the freshness limit. So a withdrawn key is
 * refused at each call, on open connections too, and also at a VM that is cut off. Thread-safe.
 */
@Singleton
public final class CallerKeys {
    /** The digest of the key that came with the present call. */
    public static final Context.Key<KeyDigest> PRESENT = Context.key("bronzelug-key-digest");

    static final Metadata.Key<String> HEADER =
            Metadata.Key.of("bronzelug-key", Metadata.ASCII_STRING_MARSHALLER);

    private final ControlState state;

    @Inject
    public CallerKeys(ControlState state) {
        this.state = state;
    }

    /** The team of a key. */
    public String teamOf(KeyDigest key) throws RejectionException {
        ControlView view = state.view();
        if (!view.isFresh(System.nanoTime())) {
            throw RejectionException.notRun(
                    ProblemCode.NOT_FRESH,
                    "this VM has had no word of the configuration for too long",
                    "use another VM; this one comes back by itself",
                    TimeUnit.NANOSECONDS.toMillis(view.limitNanos()));
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
