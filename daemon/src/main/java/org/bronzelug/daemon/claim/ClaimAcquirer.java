package org.bronzelug.daemon.claim;

import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.bronzelug.core.configuration.VersionedObject;
import org.bronzelug.daemon.configuration.Catalog;
import org.bronzelug.daemon.configuration.ObjectWriter;
import org.bronzelug.daemon.control.Announcer;
import org.bronzelug.daemon.control.ControlState;
import org.bronzelug.daemon.control.ControlThread;

/**
 * Acquires claims. A claim is the exclusive right of one VM at a time, without expiry, to use a
 * rate share or to order a pool's runners to load weights. It is an object on the platform that
 * names its holder; the object's version is the fencing token.
 *
 * <p>An acquisition has three steps: commit the object with this VM as the holder, record the
 * committed version in the control state, and have a majority of the VMs confirm it.
 *
 * <p>Blocking; called on separate threads, at most one at a time for each claim. Thread-safe.
 */
@Singleton
final class ClaimAcquirer {
    private final ControlThread control;
    private final ControlState state;
    private final ObjectWriter writer;
    private final Announcer announcer;

    @Inject
    ClaimAcquirer(
            ControlThread control, ControlState state, ObjectWriter writer, Announcer announcer) {
        this.control = control;
        this.state = state;
        this.writer = writer;
        this.announcer = announcer;
    }

    /**
     * A claim to acquire.
     *
     * @param key the key of the claim's object
     * @param current the claim as known to this VM; empty if no VM has ever held it
     * @param value the object's new value, which names this VM as the holder
     * @param isOwnValue recognizes the new value when it is read back from the platform
     * @param onCommitted called on the control thread with the committed version
     * @param onConfirmed called on the control thread with the version once a majority of the VMs
     *     has confirmed it
     */
    record Attempt(
            String key,
            Optional<Catalog.Claim> current,
            byte[] value,
            Predicate<byte[]> isOwnValue,
            LongConsumer onCommitted,
            LongConsumer onConfirmed) {}

    /** Acquires the claim; if this VM is its committed holder already, only has it confirmed. */
    void acquire(Attempt attempt) {
        boolean heldBySelf =
                attempt.current().filter(claim -> claim.holder().equals(state.self())).isPresent();
        Optional<VersionedObject> object =
                heldBySelf ? knownObject(attempt.key()) : commit(attempt);
        if (object.isEmpty()) {
            return;
        }
        long version = object.get().version();
        if (!heldBySelf) {
            onControlThread(attempt.onCommitted(), version);
        }
        if (announcer.announce(List.of(object.get()))) {
            onControlThread(attempt.onConfirmed(), version);
        }
    }

    private Optional<VersionedObject> knownObject(String key) {
        return control.submit(() -> state.configuration().object(key)).join();
    }

    private Optional<VersionedObject> commit(Attempt attempt) {
        long expectedVersion = attempt.current().map(Catalog.Claim::version).orElse(0L);
        ObjectWriter.Outcome outcome =
                writer.write(attempt.key(), expectedVersion, attempt.value(), attempt.isOwnValue());
        return outcome instanceof ObjectWriter.Outcome.Committed committed
                ? Optional.of(committed.object())
                : Optional.empty();
    }

    private void onControlThread(LongConsumer callback, long version) {
        control.submit(
                        () -> {
                            callback.accept(version);
                            return version;
                        })
                .join();
    }
}
