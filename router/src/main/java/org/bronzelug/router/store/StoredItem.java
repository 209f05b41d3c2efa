package org.bronzelug.router.store;

/**
 * An object as the platform stores it. Immutable; the content must not be modified.
 *
 * @param name name of the object, unique in its kind
 * @param revision revision of the object's last change
 * @param content content in the platform's encoding
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredItem(String name, long revision, byte[] content) {
    /** Returns the object with a revision that is not later than a bound. */
    StoredItem atMost(long bound) {
        return revision <= bound ? this : new StoredItem(name, bound, content);
    }

    /** Returns the one of two states of an object that has the later revision. */
    static StoredItem later(StoredItem one, StoredItem other) {
        return one.revision >= other.revision ? one : other;
    }
}
