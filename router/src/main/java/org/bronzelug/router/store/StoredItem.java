package org.bronzelug.router.store;

/**
 * An object as the platform stores it. Immutable; the content must not be modified.
 *
 * @param name name of the object, unique in its kind
 * @param revision revision of the object's last change
 * @param content content in the platform's encoding
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredItem(String name, long revision, byte[] content) {}
