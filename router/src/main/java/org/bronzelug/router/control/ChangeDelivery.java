package org.bronzelug.router.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Passes changed kinds on to this VM's control plane, and to the peers that read from this VM.
 *
 * <p>Invariant: a change that this VM fails to apply reaches its peers nevertheless, and is applied
 * again in later rounds until that succeeds. The mirror has the change already, so without this it
 * would be applied with the next change of the kind only, which may never come. Confined to the
 * control thread.
 */
final class ChangeDelivery {
    /** Rounds between two attempts: some seconds, since the same change mostly fails again. */
    private static final int RETRY_ROUNDS = 10;

    private final Consumer<String> onChange;
    private final Consumer<String> peers;
    private final Set<String> unapplied = new LinkedHashSet<>();

    /**
     * @param onChange applies the changes of a kind
     * @param peers responds to the peers that wait for changes of a kind
     */
    ChangeDelivery(Consumer<String> onChange, Consumer<String> peers) {
        this.onChange = onChange;
        this.peers = peers;
    }

    /** Passes on a kind that has changed; an exception of the control plane is passed through. */
    void deliver(String kind) {
        unapplied.add(kind);
        try {
            onChange.accept(kind);
            unapplied.remove(kind);
        } finally {
            peers.accept(kind);
        }
    }

    /** Passes on a kind that has changed; an exception of the control plane is logged. */
    void deliverSafely(String kind) {
        try {
            deliver(kind);
        } catch (RuntimeException | StackOverflowError fault) {
            EventLog.warn(
                    LogEvent.INTERNAL_ERROR,
                    "a change was not applied, applying it again later; kind=" + kind,
                    fault);
        }
    }

    /** Runs one round: at times, passes on again what could not be applied. */
    void round(int rounds) {
        if (rounds % RETRY_ROUNDS == 0) {
            List.copyOf(unapplied).forEach(this::deliverSafely);
        }
    }
}
