package org.bronzelug.daemon.configuration;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.platform.PlatformException;
import org.bronzelug.daemon.platform.WriteResult;
import org.bronzelug.kernel.Pause;

/**
 * Commits one value by conditional update, and finds out what happened where an answer was lost.
 *
 * <p>The failure it guards against: the write took effect but its answer was lost; the writer tries
 * again, meets its own value as a conflict, and tells the operator that somebody else won. Each
 * value carries its writer's mark, so the writer knows its own when it reads the object back; and
 * the repeated write expects the same version, so it can't take effect twice. Thread-safe.
 */
@Singleton
public final class ObjectWriter {
    private static final int TRIES = 5;
    private static final long FIRST_PAUSE_MILLIS = 50;

    private final PlatformClient platform;

    @Inject
    public ObjectWriter(PlatformClient platform) {
        this.platform = platform;
    }

    /** How a write ended. */
    public sealed interface Outcome {
        /** The value is the object's. */
        record Committed(VersionedObject object) implements Outcome {}

        /** Another writer's value is there; this one was never written. */
        record Lost(long presentVersion) implements Outcome {}

        /** The platform did not tell in time. */
        record Unknown(String reason) implements Outcome {}
    }

    /**
     * Writes a value.
     *
     * @param expectedVersion that the object must still have
     * @param isOurs recognises the writer's mark in a value read back
     */
    public Outcome write(String key, long expectedVersion, byte[] value, Predicate<byte[]> isOurs) {
        String reason = "";
        for (int attempt = 0; attempt < TRIES; attempt++) {
            try {
                return switch (platform.put(key, expectedVersion, value)) {
                    case WriteResult.Committed committed ->
                            new Outcome.Committed(
                                    new VersionedObject(key, committed.version(), value));
                    case WriteResult.Conflict conflict ->
                            resolveConflict(key, conflict.presentVersion(), attempt, isOurs);
                };
            } catch (PlatformException failed) {
                reason = failed.getMessage();
                long longest = FIRST_PAUSE_MILLIS << attempt;
                Pause.millis(ThreadLocalRandom.current().nextLong(longest) + 1);
            }
        }
        return new Outcome.Unknown(reason);
    }

    private Outcome resolveConflict(
            String key, long presentVersion, int attempt, Predicate<byte[]> isOurs)
            throws PlatformException {
        if (attempt == 0) {
            return new Outcome.Lost(presentVersion);
        }
        Optional<VersionedObject> present = platform.get(key);
        if (present.isPresent() && isOurs.test(present.get().value())) {
            return new Outcome.Committed(present.get());
        }
        return new Outcome.Lost(presentVersion);
    }
}
