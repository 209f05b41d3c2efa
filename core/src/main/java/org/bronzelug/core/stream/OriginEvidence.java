package org.bronzelug.core.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * What is known, after the lookup of a stream's origin has begun, about the software version that
 * began the stream. Without the stream's record, the version is known if the pool has had a single
 * one for as long as a stream can last.
 *
 * <p>Invariant: a version is concluded from a pool's past only with a {@link Witness}, and if
 * nobody has seen another version. The belief of the VM that looks it up is not enough: after a
 * stall or a partition its list of endpoints may be from before a release.
 *
 * <p>The whole fleet is a witness whatever it reads: the VM that began the stream is one of those
 * that answer. A majority is the weakest witness, for an outage of the platform. It counts all VMs
 * that are known, live or not, so that a minority that is cut off can't conclude anything. VMs that
 * have stalled lately or have not watched the list don't count toward it. It still errs if a
 * majority has lost the platform, while a minority that it can't reach has not. Not thread-safe.
 */
public final class OriginEvidence {
    private final Set<String> versions = new HashSet<>();
    private final Set<String> voters = new HashSet<>();
    private Optional<StreamOrigin> origin = Optional.empty();
    private boolean platformRead;
    private boolean platformComplete;

    /** Who confirms that a pool has had a single version. */
    public enum Witness {
        /** The platform: its list of endpoints, and its set of versions or the VM's own watch. */
        PLATFORM,
        /** All VMs of the fleet. */
        FLEET,
        /** More than half of the fleet's VMs, if the platform does not tell. */
        MAJORITY,
        /** This VM, in a fleet of one. */
        ALONE
    }

    /**
     * The only version that may have begun a stream. Immutable.
     *
     * @param witness who confirms it
     */
    public record SoleVersion(String version, Witness witness) {}

    /**
     * What one VM knows. Immutable.
     *
     * @param origin the stream's record; empty if the VM has none
     * @param versions the versions that the pool has had for as long as a stream can last
     * @param watched whether the VM has watched the list of endpoints for as long, without a stall
     */
    public record Answer(Optional<StreamOrigin> origin, Set<String> versions, boolean watched) {
        public Answer {
            versions = Set.copyOf(versions);
        }

        private boolean isVote() {
            return watched && versions.size() == 1;
        }
    }

    /**
     * Adds the answer of another VM to a question that was asked after the lookup began. It may
     * arrive twice.
     */
    public void add(String vm, Answer answer) {
        if (origin.isEmpty()) {
            origin = answer.origin();
        }
        versions.addAll(answer.versions());
        if (answer.isVote()) {
            voters.add(vm);
        }
    }

    /**
     * Adds what a read of the platform has shown that began after the lookup.
     *
     * @param stored the versions of the pool that the platform keeps
     * @param complete whether these are all versions of the time for which a stream can last
     */
    public void addPlatform(Set<String> stored, boolean complete) {
        versions.addAll(stored);
        platformRead = true;
        platformComplete = complete;
    }

    /** Returns the stream's record, once a VM has answered with it. */
    public Optional<StreamOrigin> origin() {
        return origin;
    }

    /**
     * Returns the only version that may have begun the stream, if a witness confirms it for certain
     * whatever other VMs answer.
     *
     * @param own what this VM knows now, including the list of endpoints that was read
     * @param fleetSize the number of VMs that are known, live or not; empty if not known yet
     */
    public Optional<SoleVersion> certainVersion(Answer own, OptionalInt fleetSize) {
        int votes = votes(own);
        boolean unanimous = fleetSize.isPresent() && votes >= fleetSize.getAsInt();
        if (platformRead && (platformComplete || own.watched())) {
            return only(own, Witness.PLATFORM);
        }
        return unanimous ? only(own, votes == 1 ? Witness.ALONE : Witness.FLEET) : Optional.empty();
    }

    /**
     * Returns the only version that may have begun the stream, once all VMs that answer have done
     * so and the platform was read or can't be.
     */
    public Optional<SoleVersion> soleVersion(Answer own, OptionalInt fleetSize) {
        Optional<SoleVersion> certain = certainVersion(own, fleetSize);
        boolean majority = fleetSize.isPresent() && 2 * votes(own) > fleetSize.getAsInt();
        return certain.isEmpty() && majority ? only(own, Witness.MAJORITY) : certain;
    }

    private int votes(Answer own) {
        return voters.size() + (own.isVote() ? 1 : 0);
    }

    /** Returns whether several versions may have begun the stream, whoever else answers. */
    public boolean hasSeveralVersions(Answer own) {
        return allVersions(own).size() > 1;
    }

    private Optional<SoleVersion> only(Answer own, Witness witness) {
        Set<String> all = allVersions(own);
        return all.size() == 1
                ? Optional.of(new SoleVersion(all.iterator().next(), witness))
                : Optional.empty();
    }

    private Set<String> allVersions(Answer own) {
        Set<String> all = new HashSet<>(versions);
        all.addAll(own.versions());
        return all;
    }
}
