package org.bronzelug.core.configuration;

import java.util.Arrays;
import java.util.Objects;

/**
 * One object of the platform's object API, as committed there (DESIGN.md "Configuration").
 *
 * <p>Invariant: two objects with the same key and version have the same value, since the platform
 * assigns a new version to each committed value. Immutable: the value is copied on construction and
 * on each access.
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

    /**
     * Returns the version that the platform assigned: 1 or more, and higher for each newly
     * committed value of the key.
     */
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
