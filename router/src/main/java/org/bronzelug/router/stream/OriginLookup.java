package org.bronzelug.router.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.bronzelug.core.stream.OriginEvidence;
import org.bronzelug.core.stream.StreamKey;
import org.bronzelug.core.stream.StreamOrigin;

/**
 * A lookup of a stream's origin that waits for the answers of peers, and for the platform if they
 * are not enough.
 *
 * <p>Invariant: it ends once. Confined to the traffic thread.
 */
final class OriginLookup {
    private final Optional<StreamKey> key;
    private final Optional<String> pool;
    private final StreamOriginDirectory.Listener listener;
    private final OriginEvidence evidence = new OriginEvidence();
    private final Set<String> answeredVms = new HashSet<>();
    private PlatformRead platform = PlatformRead.NOT_BEGUN;
    private int askedVms;
    private int waits;
    private boolean asked;
    private OptionalInt fleetSize = OptionalInt.empty();
    private boolean answersEnded;
    private boolean ended;

    /** The read of the platform that began after the lookup. */
    enum PlatformRead {
        NOT_BEGUN,
        IN_PROGRESS,
        SUCCEEDED,
        FAILED
    }

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
     * Records that VMs were asked.
     *
     * @param vms the VMs whose answers are waited for
     * @param knownVms the number of VMs of the fleet, this one included, live or not
     */
    void recordAsked(int vms, int knownVms) {
        asked = true;
        askedVms = Math.max(askedVms, vms);
        fleetSize = OptionalInt.of(knownVms);
    }

    /** Records that answers are waited for from now on; returns the number of this wait. */
    int beginAnswers() {
        asked = false;
        answersEnded = false;
        return ++waits;
    }

    /** Records that a wait for answers has ended, unless another one has begun. */
    void endAnswers(int wait) {
        answersEnded |= wait == waits;
    }

    /** Adds the answer of a VM, which may arrive twice. */
    void add(String vm, OriginEvidence.Answer answer) {
        answeredVms.add(vm);
        evidence.add(vm, answer);
    }

    void beginPlatformRead() {
        platform = PlatformRead.IN_PROGRESS;
    }

    PlatformRead platformRead() {
        return platform;
    }

    /**
     * Adds what the platform keeps.
     *
     * @param complete whether it keeps all versions of the time for which a stream can last
     */
    void recordPlatformRead(Set<String> stored, boolean complete) {
        platform = PlatformRead.SUCCEEDED;
        evidence.addPlatform(stored, complete);
    }

    void recordPlatformFailure() {
        platform = PlatformRead.FAILED;
    }

    /** Returns whether some VMs of the fleet are not asked. */
    boolean leavesOutVms() {
        return fleetSize.isEmpty() || askedVms + 1 < fleetSize.getAsInt();
    }

    /**
     * Returns whether nothing is waited for any more that may change the outcome.
     *
     * @param own what this VM knows now
     */
    boolean isDecided(OriginEvidence.Answer own) {
        boolean answered = answersEnded || haveAllAnswered();
        boolean read = platform != PlatformRead.IN_PROGRESS || evidence.hasSeveralVersions(own);
        return isCertain(own) || (answered && read);
    }

    /** Returns whether the outcome is known whatever the other VMs answer. */
    boolean isCertain(OriginEvidence.Answer own) {
        return evidence.origin().isPresent() || evidence.certainVersion(own, fleetSize).isPresent();
    }

    /** Returns whether all VMs that were asked have answered. */
    boolean haveAllAnswered() {
        return asked && answers() >= askedVms;
    }

    /** Ends the lookup; returns false if it has ended already. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    boolean hasEnded() {
        return ended;
    }

    int answers() {
        return answeredVms.size();
    }

    Optional<StreamOrigin> origin() {
        return evidence.origin();
    }

    /** Returns the pool's only version, if a witness confirms it. */
    Optional<OriginEvidence.SoleVersion> soleVersion(OriginEvidence.Answer own) {
        return evidence.soleVersion(own, fleetSize);
    }

    /** Returns the origin that follows from the pool's only version; it is not kept. */
    Optional<StreamOrigin> origin(String version, long nowNanos) {
        StreamKey named = key.orElseGet(() -> new StreamKey(0, 0));
        return pool.map(name -> new StreamOrigin(named, name, version, nowNanos));
    }

    /** Returns how many VMs were asked and have answered, for the log. */
    String describe() {
        return "asked=" + askedVms + " answers=" + answers();
    }
}
