package org.bronzelug.daemon.peer;

/** Thrown when a request/response exchange with a peer daemon fails. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveArrived;

    /**
     * @param mayHaveArrived whether the request may have reached the peer
     */
    public PeerException(String message, boolean mayHaveArrived) {
        super(message);
        this.mayHaveArrived = mayHaveArrived;
    }

    /** Returns whether the request may have reached the peer. */
    public boolean mayHaveArrived() {
        return mayHaveArrived;
    }
}
