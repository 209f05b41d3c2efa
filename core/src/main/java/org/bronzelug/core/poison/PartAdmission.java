package org.bronzelug.core.poison;

import java.util.Set;

/** Whether a request with certain parts may be sent to an endpoint now. Immutable. */
public sealed interface PartAdmission {
    /** The request may be sent. */
    record Allowed() implements PartAdmission {}

    /**
     * Another request with one of the parts is in progress, which will show whether the part
     * crashes endpoints.
     */
    record Waiting(PartKey part) implements PartAdmission {}

    /**
     * The parts crash endpoints.
     *
     * @param retryAfterNanos time until the request may be admitted
     */
    record Rejected(Set<PartKey> parts, long retryAfterNanos) implements PartAdmission {}
}
