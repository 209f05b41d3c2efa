package org.bronzelug.daemon.generate;

/** Receives the chunks of a stream: the connection to the caller. */
public interface ChunkSink {
    /**
     * Sends a chunk; blocks while the caller is slow to read.
     *
     * @return false once the caller has cancelled or disconnected
     */
    boolean send(int offset, String text);

    /**
     * Sets an action that runs once when the caller cancels or disconnects; it runs immediately if
     * that has happened already.
     */
    void onCancel(Runnable action);

    /** Returns whether the caller has cancelled or disconnected. */
    boolean isCancelled();
}
