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
    private final Listener listener;
    private Optional<String> version = Optional.empty();

    /** Is notified of a stream that this VM begins. */
    interface Listener {
        /** Called once the endpoint is known that generates the first event. */
        void onBegun(EndpointEntry endpoint);

        /** Called once the last event was forwarded. */
        default void onComplete() {}
    }

    private StreamVersion(Listener listener) {
        this.listener = listener;
    }

    /** Returns the version of a stream that has no event yet. */
    static StreamVersion unbound(Listener listener) {
        return new StreamVersion(listener);
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
            listener.onBegun(endpoint);
        }
    }

    /** Records that the whole stream was forwarded. */
    void complete() {
        if (version.isPresent()) {
            listener.onComplete();
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
