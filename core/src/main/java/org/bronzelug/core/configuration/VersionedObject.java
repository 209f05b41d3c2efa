package org.bronzelug.core.configuration;

import java.util.Arrays;
import java.util.Objects;

/**
 * One object of the platform's object API, as committed there: DESIGN.md section "Configuration".
 *
 * <p>Invariant: two objects with the same key and version have the same value, since the platform
 * gives every committed value a version of its own. Immutable; the value is copied on the way in
 * and must not be changed by readers.
 */
public final class VersionedObject {
    private final String key;
    private final long version;
    private final byte[] value;

    public VersionedObject(String key, long version, byte[] value) {
        this.key = Objects.requireNonNull(key);
        this.version = version;
        this.value = value.clone();
    }

    public String key() {
        return key;
    }

    /** The platform's version: 1 or more, higher for each committed value of the key. */
    public long version() {
        return version;
    }

    public byte[] value() {
        return value.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedObject that
                && key.equals(that.key)
                && version == that.version
                && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
        return Objects.hash(key, version);
    }

    @Override
    public String toString() {
        return key + "@" + version;
    }
}
