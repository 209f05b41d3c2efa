package org.bronzelug.daemon.peer;

/** An exchange with a peer failed. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * @param sent whether the request may have reached the peer
     */
    public PeerException(String message, boolean sent) {
        super(message);
        this.sent = sent;
    }

    /** Whether the request may have reached the peer. */
    public boolean mayHaveArrived() {
        return sent;
    }
}
