package org.bronzelug.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.bronzelug.api.peer.Envelope;

/** Answers the requests of other daemons; called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {
    /** The answer, later; a failed future closes the connection. */
    CompletableFuture<Envelope.Builder> handle(Envelope request);
}
