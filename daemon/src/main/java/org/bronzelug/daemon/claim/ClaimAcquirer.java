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
 * Takes a claim over in its three steps: commit, note, have a majority confirm.
 *
 * <p>Blocking; called on threads of their own, one at a time for each claim. Thread-safe.
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
     * A claim to take.
     *
     * @param key of its object
     * @param present as known here; empty where nobody ever held it
     * @param value that names this VM
     * @param isOurs recognises this value when it is read back
     * @param taken told of the version committed, on the control thread
     * @param confirmed told of the version that a majority knows, on the control thread
     */
    record Attempt(
            String key,
            Optional<Catalog.Claim> present,
            byte[] value,
            Predicate<byte[]> isOurs,
            LongConsumer taken,
            LongConsumer confirmed) {}

    /** Takes the claim, or has it confirmed where this VM is its committed holder already. */
    void take(Attempt attempt) {
        boolean own =
                attempt.present().filter(held -> held.holder().equals(state.self())).isPresent();
        Optional<VersionedObject> object = own ? held(attempt.key()) : write(attempt);
        if (object.isEmpty()) {
            return;
        }
        long version = object.get().version();
        if (!own) {
            onControlThread(attempt.taken(), version);
        }
        if (announcer.announce(List.of(object.get()))) {
            onControlThread(attempt.confirmed(), version);
        }
    }

    private Optional<VersionedObject> held(String key) {
        return control.ask(() -> state.configuration().object(key)).join();
    }

    private Optional<VersionedObject> write(Attempt attempt) {
        long expected = attempt.present().map(Catalog.Claim::version).orElse(0L);
        ObjectWriter.Outcome outcome =
                writer.write(attempt.key(), expected, attempt.value(), attempt.isOurs());
        return outcome instanceof ObjectWriter.Outcome.Committed committed
                ? Optional.of(committed.object())
                : Optional.empty();
    }

    private void onControlThread(LongConsumer told, long version) {
        control.ask(
                        () -> {
                            told.accept(version);
                            return version;
                        })
                .join();
    }
}
