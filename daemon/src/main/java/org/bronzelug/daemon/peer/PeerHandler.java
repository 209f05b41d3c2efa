package org.bronzelug.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.peer.Envelope;

/**
 * Handles the requests of other daemons. Called on a network event loop, so implementations must
 * not block.
 */
@FunctionalInterface
public interface PeerHandler {
    /** Returns the future response; if the future fails, the connection is closed. */
    CompletableFuture<Envelope.Builder> handle(Envelope request);
}
