package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * The software version that a resumable stream is bound to. What two versions generate does not fit
 * together, so the version that generated the first event generates all others.
 *
 * <p>Versions are compared as they are listed, and endpoints that name none are of one version.
 *
 * <p>Invariant: once bound, the version does not change. Confined to the traffic thread.
 */
final class StreamVersion {
    private Optional<String> version = Optional.empty();

    /** Binds the stream to a version, if it is not bound yet. */
    void bind(String softwareVersion) {
        if (version.isEmpty()) {
            version = Optional.of(softwareVersion);
        }
    }

    /** Returns the version; empty if no event has been generated yet. */
    Optional<String> version() {
        return version;
    }

    /** Returns whether the stream may go on at an endpoint. */
    boolean allows(EndpointEntry entry) {
        return version.isEmpty() || version.get().equals(entry.softwareVersion());
    }
}
