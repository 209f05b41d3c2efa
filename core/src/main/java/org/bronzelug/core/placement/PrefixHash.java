package org.bronzelug.core.placement;

/**
 * A 128-bit hash that identifies a prefix.
 *
 * <p>The chance that two of 100 million prefixes collide is below 1e-22. Immutable.
 */
public record PrefixHash(long high, long low) {
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
