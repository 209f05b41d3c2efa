package org.bronzelug.daemon.platform;

/** The result of a conditional write to which the platform responded. Immutable. */
public sealed interface WriteResult {
    /** The value was committed and has this version. */
    record Committed(long version) implements WriteResult {}

    /** The object has another version than expected, so nothing was written. */
    record Conflict(long currentVersion) implements WriteResult {}
}
