package org.bronzelug.router.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;

/** A lookup of a stream's origin that waits for the answers of peers. Confined to its thread. */
final class OriginLookup {
    private final StreamKey key;
    private final Optional<String> pool;
    private final List<StreamOriginDirectory.Listener> listeners = new ArrayList<>();
    private final OriginEvidence evidence = new OriginEvidence();
    private OptionalInt askedVms = OptionalInt.empty();

    OriginLookup(StreamKey key, Optional<String> pool, StreamOriginDirectory.Listener listener) {
        this.key = key;
        this.pool = pool;
        listeners.add(listener);
    }

    StreamKey key() {
        return key;
    }

    Optional<String> pool() {
        return pool;
    }

    List<StreamOriginDirectory.Listener> listeners() {
        return listeners;
    }

    void addListener(StreamOriginDirectory.Listener listener) {
        listeners.add(listener);
    }

    /**
     * Records the number of VMs that were asked.
     *
     * @return whether the lookup is complete
     */
    boolean expect(int vms) {
        askedVms = OptionalInt.of(vms);
        return isComplete();
    }

    /**
     * Adds an answer; the first one is this VM's own.
     *
     * @return whether the lookup is complete
     */
    boolean add(OriginEvidence.Answer answer) {
        evidence.add(answer);
        return isComplete();
    }

    private boolean isComplete() {
        boolean allAnswered = askedVms.isPresent() && peerAnswers() >= askedVms.getAsInt();
        return evidence.origin().isPresent() || allAnswered;
    }

    int askedVms() {
        return askedVms.orElse(0);
    }

    int peerAnswers() {
        return evidence.answers() - 1;
    }

    Optional<StreamOrigin> origin() {
        return evidence.origin();
    }

    /** Returns the origin that follows from the pool's only version. */
    Optional<StreamOrigin> soleOrigin(long nowNanos) {
        return evidence.soleVersion()
                .flatMap(version -> pool.map(name -> origin(name, version, nowNanos)));
    }

    private StreamOrigin origin(String poolName, String version, long nowNanos) {
        return new StreamOrigin(key, poolName, version, nowNanos);
    }
}
