package org.bronzelug.core.stream;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * What VMs know about the software version that began one stream. Without the stream's record, the
 * version is known if the pool has had a single one for as long as a stream can last.
 *
 * <p>Invariant: a version is concluded from a pool's past only if one VM has watched all of it and
 * no VM has seen another version. Not thread-safe.
 */
public final class OriginEvidence {
    private final Set<String> versions = new HashSet<>();
    private Optional<StreamOrigin> origin = Optional.empty();
    private boolean watched;

    /**
     * What one VM knows. Immutable.
     *
     * @param origin the stream's record; empty if the VM has none
     * @param versions the versions that the pool has had for as long as a stream can last
     * @param watched whether the VM has watched the list of endpoints for as long
     */
    public record Answer(Optional<StreamOrigin> origin, Set<String> versions, boolean watched) {
        public Answer {
            versions = Set.copyOf(versions);
        }
    }

    public void add(Answer answer) {
        if (origin.isEmpty()) {
            origin = answer.origin();
        }
        versions.addAll(answer.versions());
        watched |= answer.watched();
    }

    /** Returns the stream's record, once a VM has answered with it. */
    public Optional<StreamOrigin> origin() {
        return origin;
    }

    /** Returns the only version that may have begun the stream, as far as the answers tell. */
    public Optional<String> soleVersion() {
        return watched && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                : Optional.empty();
    }
}
