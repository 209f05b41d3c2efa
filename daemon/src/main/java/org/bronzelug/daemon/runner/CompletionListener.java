package org.bronzelug.daemon.runner;

import org.bronzelug.core.stream.StreamGapException;

/** Receives the chunks and the end of a completion as they arrive. */
public interface CompletionListener {
    /**
     * Called for each chunk.
     *
     * @return whether to read on; false ends the completion without an error
     */
    boolean onChunk(int offset, String text) throws StreamGapException;

    /**
     * Called once, when the stream is complete.
     *
     * @param cachedTokens prompt tokens that the runner had in its cache
     * @param report the runner's state at the end of the stream
     */
    void onEnd(int cachedTokens, EndpointReport report);
}
