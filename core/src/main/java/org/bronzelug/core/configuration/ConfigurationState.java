package org.bronzelug.core.configuration;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * All configuration objects that one VM knows, at the newest version it has met.
 *
 * <p>Invariant: the version of a key never falls. The failure this guards against: a peer or a
 * lagging read offers an older object after a newer one was in force (a restart in an outage, a
 * delayed message), and a withdrawn key works again. Refusing every lower version here is enough,
 * since all objects enter through {@link #with}.
 *
 * <p>Immutable, so any thread may read it; the control thread replaces it as a whole.
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

    /** Returns this state with those of the objects that are newer than what it holds. */
    public ConfigurationState with(Collection<VersionedObject> offered) {
        TreeMap<String, VersionedObject> next = new TreeMap<>(objects);
        long nextDigest = digest;
        for (VersionedObject object : offered) {
            VersionedObject held = next.get(object.key());
            if (held != null && held.version() >= object.version()) {
                continue;
            }
            if (held != null) {
                nextDigest ^= digestOf(held);
            }
            next.put(object.key(), object);
            nextDigest ^= digestOf(object);
        }
        return nextDigest == digest ? this : new ConfigurationState(next, nextDigest);
    }

    public Optional<VersionedObject> object(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** The version held of a key; 0 where the key is not known. */
    public long version(String key) {
        VersionedObject held = objects.get(key);
        return held == null ? 0 : held.version();
    }

    public Collection<VersionedObject> objects() {
        return objects.values();
    }

    /** The objects whose key starts so, in the order of their keys. */
    public Collection<VersionedObject> objectsUnder(String prefix) {
        return objects.subMap(prefix, prefix + Character.MAX_VALUE).values();
    }

    /** Equal for states of equal versions; 64 bits, so unequal states collide by accident only. */
    public long digest() {
        return digest;
    }

    /** Whether this state knows each key at the version given or a newer one. */
    public boolean covers(Map<String, Long> versions) {
        return versions.entrySet().stream()
                .allMatch(entry -> version(entry.getKey()) >= entry.getValue());
    }

    private static long digestOf(VersionedObject object) {
        return HASH.hashChars(object.key() + "@" + object.version());
    }
}
