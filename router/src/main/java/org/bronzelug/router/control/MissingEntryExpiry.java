package org.bronzelug.router.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Removes endpoints whose entries stay missing at the moment at which they may no longer be used,
 * rather than in the next round. Confined to the control thread.
 */
final class MissingEntryExpiry {
    private final EventLoop control;
    private final EndpointList endpoints;
    private final Runnable onRemoved;

    /**
     * @param onRemoved runs after endpoints were removed
     */
    MissingEntryExpiry(EventLoop control, EndpointList endpoints, Runnable onRemoved) {
        this.control = control;
        this.endpoints = endpoints;
        this.onRemoved = onRemoved;
    }

    /** Schedules the next removal, after the list of endpoints has changed. */
    void schedule() {
        endpoints
                .nextExpiryNanos()
                .ifPresent(
                        nanos ->
                                control.schedule(
                                        this::expire,
                                        nanos - System.nanoTime(),
                                        TimeUnit.NANOSECONDS));
    }

    private void expire() {
        if (endpoints.expire(System.nanoTime())) {
            onRemoved.run();
        }
    }
}
