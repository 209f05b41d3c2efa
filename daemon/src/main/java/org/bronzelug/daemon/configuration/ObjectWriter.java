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
 * Writes one value by a conditional update, and finds out its outcome if a response was lost.
 *
 * <p>The failure this prevents: a write takes effect but its response is lost; the writer retries,
 * gets a conflict with its own value, and reports to the operator that another writer was first.
 * Each value therefore carries a random mark, by which the writer recognizes its own value when it
 * reads the object back. A retried write expects the same version as the first attempt, so it
 * cannot take effect twice. Thread-safe.
 */
@Singleton
public final class ObjectWriter {
    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 50;

    private final PlatformClient platform;

    @Inject
    public ObjectWriter(PlatformClient platform) {
        this.platform = platform;
    }

    /** The outcome of a write. */
    public sealed interface Outcome {
        /** The value was written. */
        record Committed(VersionedObject object) implements Outcome {}

        /** Another writer changed the object first; the value was not written. */
        record Conflict(long currentVersion) implements Outcome {}

        /** The platform did not respond in time, so the value may have been written. */
        record Unknown(String reason) implements Outcome {}
    }

    /**
     * Writes a value.
     *
     * @param expectedVersion the version that the object must still have
     * @param isOwnValue recognizes the writer's mark in a value that was read back
     */
    public Outcome write(
            String key, long expectedVersion, byte[] value, Predicate<byte[]> isOwnValue) {
        String reason = "";
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            try {
                return switch (platform.put(key, expectedVersion, value)) {
                    case WriteResult.Committed committed ->
                            new Outcome.Committed(
                                    new VersionedObject(key, committed.version(), value));
                    case WriteResult.Conflict conflict ->
                            resolveConflict(key, conflict.currentVersion(), attempt, isOwnValue);
                };
            } catch (PlatformException failed) {
                reason = failed.getMessage();
                long maximumDelayMillis = INITIAL_RETRY_DELAY_MILLIS << attempt;
                Pause.millis(ThreadLocalRandom.current().nextLong(maximumDelayMillis) + 1);
            }
        }
        return new Outcome.Unknown(reason);
    }

    private Outcome resolveConflict(
            String key, long currentVersion, int attempt, Predicate<byte[]> isOwnValue)
            throws PlatformException {
        if (attempt == 0) {
            return new Outcome.Conflict(currentVersion);
        }
        Optional<VersionedObject> current = platform.get(key);
        if (current.isPresent() && isOwnValue.test(current.get().value())) {
            return new Outcome.Committed(current.get());
        }
        return new Outcome.Conflict(currentVersion);
    }
}
