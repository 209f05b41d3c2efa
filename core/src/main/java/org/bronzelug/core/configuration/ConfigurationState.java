package org.bronzelug.core.configuration;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * All configuration objects that a VM holds, each in the newest version that the VM has received.
 *
 * <p>Invariant: the version of a key never decreases. All objects enter through {@link #with},
 * which ignores any version that is not newer. Without this, a peer or a delayed platform read
 * could offer an older object after a newer one was in force (after a restart during an outage, or
 * through a delayed message), and a withdrawn key would work again.
 *
 * <p>Immutable, so any thread may read it; the control thread replaces the instance as a whole.
 */
public final class ConfigurationState {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final ConfigurationState EMPTY = new ConfigurationState(new TreeMap<>(), 0);

    private final TreeMap<String, VersionedObject> objects;
    private final long digest;

    private ConfigurationState(TreeMap<String, VersionedObject> objects, long digest) {
        this.objects = objects;
        this.digest = digest;
    }

    public static ConfigurationState empty() {
        return EMPTY;
    }

    /**
     * Returns this state with those of the offered objects that are newer than the ones it holds.
     */
    public ConfigurationState with(Collection<VersionedObject> offered) {
        TreeMap<String, VersionedObject> updated = new TreeMap<>(objects);
        long updatedDigest = digest;
        for (VersionedObject object : offered) {
            VersionedObject current = updated.get(object.key());
            if (current != null && current.version() >= object.version()) {
                continue;
            }
            if (current != null) {
                updatedDigest ^= digestOf(current);
            }
            updated.put(object.key(), object);
            updatedDigest ^= digestOf(object);
        }
        return updatedDigest == digest ? this : new ConfigurationState(updated, updatedDigest);
    }

    public Optional<VersionedObject> object(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** Returns the version of the key that this state holds; 0 if it does not hold the key. */
    public long version(String key) {
        VersionedObject current = objects.get(key);
        return current == null ? 0 : current.version();
    }

    public Collection<VersionedObject> objects() {
        return objects.values();
    }

    /** Returns the objects whose keys start with the prefix, ordered by key. */
    public Collection<VersionedObject> objectsUnder(String prefix) {
        return objects.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    /**
     * Returns a 64-bit hash of the keys and versions. States with equal versions have equal
     * digests; other states have equal digests only through a hash collision.
     */
    public long digest() {
        return digest;
    }

    /** Returns whether this state holds each key in the given version or a newer one. */
    public boolean covers(Map<String, Long> versions) {
        return versions.entrySet().stream()
                .allMatch(entry -> version(entry.getKey()) >= entry.getValue());
    }

    private static long digestOf(VersionedObject object) {
        return HASH.hashChars(object.key() + "@" + object.version());
    }
}
