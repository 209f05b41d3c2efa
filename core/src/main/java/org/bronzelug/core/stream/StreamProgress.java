package org.bronzelug.core.stream;

import java.util.Optional;

/**
 * The progress of one caller's stream over several attempts on runners.
 *
 * <p>Invariant: the accepted chunks are numbered from the start offset up, with no gap and none
 * twice. The failures this guards against: a runner freezes, the stream is moved, and the first
 * runner wakes and sends on (a doubled chunk, or one of another request); a chunk is lost with its
 * connection (a gap). Each attempt has a number; a chunk of any attempt but the present one is
 * dropped, and the next attempt starts at the first chunk not accepted.
 *
 * <p>Thread-safe: an attempt's reader and the one that moves the stream may race.
 */
public final class StreamProgress {
    private int attempt;
    private int nextOffset;
    private final StringBuilder text;
    private boolean finished;

    /**
     * @param startOffset chunks that the caller already has
     * @param textSoFar their text
     */
    public StreamProgress(int startOffset, String textSoFar) {
        this.nextOffset = startOffset;
        this.text = new StringBuilder(textSoFar);
    }

    /** Starts the next attempt; chunks of earlier ones are dropped from now on. */
    public synchronized Attempt startAttempt() {
        attempt++;
        return new Attempt(attempt, nextOffset, text.toString());
    }

    /**
     * Offers a chunk.
     *
     * @return whether it is the stream's next one; it then must be sent to the caller
     * @throws StreamGapException where the runner left a chunk out: the attempt is of no use
     */
    public synchronized boolean accept(int ofAttempt, int offset, String chunk)
            throws StreamGapException {
        if (ofAttempt != attempt || finished || offset < nextOffset) {
            return false;
        }
        if (offset > nextOffset) {
            throw new StreamGapException(nextOffset, offset);
        }
        nextOffset++;
        text.append(chunk);
        return true;
    }

    /** Ends the stream, if the attempt is the present one. */
    public synchronized boolean finish(int ofAttempt) {
        if (ofAttempt != attempt || finished) {
            return false;
        }
        finished = true;
        return true;
    }

    public synchronized int nextOffset() {
        return nextOffset;
    }

    public synchronized int attempts() {
        return attempt;
    }

    /** The text accepted so far, if any. */
    public synchronized Optional<String> textSoFar() {
        return text.isEmpty() ? Optional.empty() : Optional.of(text.toString());
    }

    /**
     * One attempt to generate the rest of a stream.
     *
     * @param number of the attempt, from 1
     * @param startOffset its first chunk
     * @param textSoFar what was generated before
     */
    public record Attempt(int number, int startOffset, String textSoFar) {}
}
