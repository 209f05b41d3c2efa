package org.bronzelug.daemon.generate;

/** Where a stream's chunks go: the caller's connection. */
public interface ChunkSink {
    /**
     * Sends a chunk, waiting while the caller is slow.
     *
     * @return false once the caller is gone
     */
    boolean send(int offset, String text);

    /** Sets what to do, once, when the caller goes; at once where it has gone already. */
    void onCancel(Runnable action);

    /** Whether the caller has gone. */
    boolean isCancelled();
}
