package org.bronzelug.router.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;

/**
 * A lookup of a stream's origin that waits for the answers of peers.
 *
 * <p>Invariant: it ends once. Confined to the traffic thread.
 */
final class OriginLookup {
    private final Optional<StreamKey> key;
    private final Optional<String> pool;
    private final StreamOriginDirectory.Listener listener;
    private final OriginEvidence evidence = new OriginEvidence();
    private final Set<String> answeredVms = new HashSet<>();
    private OptionalInt askedVms = OptionalInt.empty();
    private boolean ended;

    OriginLookup(
            Optional<StreamKey> key,
            Optional<String> pool,
            StreamOriginDirectory.Listener listener) {
        this.key = key;
        this.pool = pool;
        this.listener = listener;
    }

    /** Returns the key of the stream; empty if its caller names none. */
    Optional<StreamKey> key() {
        return key;
    }

    /** Returns the only pool that may have begun the stream; empty if there are several. */
    Optional<String> pool() {
        return pool;
    }

    StreamOriginDirectory.Listener listener() {
        return listener;
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
     * Adds the answer of a VM, which may arrive twice.
     *
     * @return whether the lookup is complete
     */
    boolean add(String vm, OriginEvidence.Answer answer) {
        answeredVms.add(vm);
        evidence.add(answer);
        return isComplete();
    }

    /** Adds what this VM itself knows. */
    void addOwn(OriginEvidence.Answer own) {
        evidence.add(own);
    }

    private boolean isComplete() {
        return evidence.origin().isPresent() || haveAllAnswered();
    }

    /** Returns whether all VMs that were asked have answered. */
    boolean haveAllAnswered() {
        return askedVms.isPresent() && answers() >= askedVms.getAsInt();
    }

    /** Ends the lookup; returns false if it has ended already. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    int askedVms() {
        return askedVms.orElse(0);
    }

    int answers() {
        return answeredVms.size();
    }

    Optional<StreamOrigin> origin() {
        return evidence.origin();
    }

    /** Returns the origin that follows from the pool's only version; it is not kept. */
    Optional<StreamOrigin> soleOrigin(long nowNanos) {
        return evidence.soleVersion().flatMap(version -> origin(version, nowNanos));
    }

    private Optional<StreamOrigin> origin(String version, long nowNanos) {
        StreamKey named = key.orElseGet(() -> new StreamKey(0, 0));
        return pool.map(name -> new StreamOrigin(named, name, version, nowNanos));
    }
}
