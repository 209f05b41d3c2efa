package org.bronzelug.router.store;

/**
 * An object as the platform stores it. Immutable; the content is not changed after construction.
 *
 * @param name unique in its kind
 * @param revision of its last change
 * @param content what it holds, in the platform's encoding
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredItem(String name, long revision, byte[] content) {}
