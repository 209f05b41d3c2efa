package org.bronzelug.daemon.runner;

import org.bronzelug.core.stream.StreamGapException;

/** Takes the lines of a completion as they arrive. */
public interface CompletionListener {
    /**
     * A chunk has arrived.
     *
     * @return whether more are wanted
     */
    boolean chunk(int offset, String text) throws StreamGapException;

    /** The stream is complete. */
    void end(int cachedTokens, EndpointReport report);
}
