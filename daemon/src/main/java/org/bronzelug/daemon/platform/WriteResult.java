package org.bronzelug.daemon.platform;

/** The platform's definite answer to a conditional update. Immutable. */
public sealed interface WriteResult {
    /** The value is committed at this version. */
    record Committed(long version) implements WriteResult {}

    /** The object had another version, so nothing was written. */
    record Conflict(long presentVersion) implements WriteResult {}
}
