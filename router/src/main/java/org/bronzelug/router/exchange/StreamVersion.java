package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.function.Consumer;
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
    private final Consumer<EndpointEntry> onBegun;
    private Optional<String> version = Optional.empty();

    private StreamVersion(Consumer<EndpointEntry> onBegun) {
        this.onBegun = onBegun;
    }

    /**
     * Returns the version of a stream that has no event yet.
     *
     * @param onBegun receives the endpoint that generates the first event
     */
    static StreamVersion unbound(Consumer<EndpointEntry> onBegun) {
        return new StreamVersion(onBegun);
    }

    /** Returns the version of a stream that has begun earlier. */
    static StreamVersion bound(String softwareVersion) {
        StreamVersion bound = new StreamVersion(begun -> {});
        bound.version = Optional.of(softwareVersion);
        return bound;
    }

    /** Binds the stream to the version of the endpoint that generates its events. */
    void bind(EndpointEntry endpoint) {
        if (version.isEmpty()) {
            version = Optional.of(endpoint.softwareVersion());
            onBegun.accept(endpoint);
        }
    }

    /** Returns the version; empty if no event has been generated yet. */
    Optional<String> version() {
        return version;
    }

    /** Returns whether an endpoint may continue the stream. */
    boolean allows(EndpointEntry entry) {
        return version.isEmpty() || version.get().equals(entry.softwareVersion());
    }
}
