package org.bronzelug.core.stream;

import java.util.Optional;

/**
 * The progress of one caller's stream over several attempts on runners.
 *
 * <p>Invariant: the accepted chunks are numbered from the start offset upwards, without gaps or
 * duplicates. Each attempt has a number; chunks of any attempt but the current one are dropped, and
 * the next attempt starts at the first chunk that was not accepted. Without this, when a runner
 * freezes, its stream is moved and the runner resumes sending, the caller would receive a chunk
 * twice, or one of another request; and a chunk that is lost with its connection would leave a gap.
 *
 * <p>Thread-safe: the thread that reads an attempt and the thread that moves the stream may race.
 */
public final class StreamProgress {
    private int currentAttempt;
    private int nextOffset;
    private final StringBuilder text;
    private boolean finished;

    /**
     * @param startOffset number of chunks that the caller already has
     * @param textSoFar the text of these chunks
     */
    public StreamProgress(int startOffset, String textSoFar) {
        this.nextOffset = startOffset;
        this.text = new StringBuilder(textSoFar);
    }

    /** Starts the next attempt; from now on, chunks of earlier attempts are dropped. */
    public synchronized Attempt startAttempt() {
        currentAttempt++;
        return new Attempt(currentAttempt, nextOffset, text.toString());
    }

    /**
     * Offers a chunk.
     *
     * @return whether the chunk is the next one of the stream and so must be sent to the caller
     * @throws StreamGapException if the runner omitted a chunk, so that the attempt must be
     *     abandoned
     */
    public synchronized boolean accept(int attemptNumber, int offset, String chunk)
            throws StreamGapException {
        if (attemptNumber != currentAttempt || finished || offset < nextOffset) {
            return false;
        }
        if (offset > nextOffset) {
            throw new StreamGapException(nextOffset, offset);
        }
        nextOffset++;
        text.append(chunk);
        return true;
    }

    /**
     * Ends the stream if the attempt is the current one.
     *
     * @return whether this call has ended the stream
     */
    public synchronized boolean finish(int attemptNumber) {
        if (attemptNumber != currentAttempt || finished) {
            return false;
        }
        finished = true;
        return true;
    }

    public synchronized int nextOffset() {
        return nextOffset;
    }

    public synchronized int attempts() {
        return currentAttempt;
    }

    /** Returns the text of the accepted chunks; empty if there is none. */
    public synchronized Optional<String> textSoFar() {
        return text.isEmpty() ? Optional.empty() : Optional.of(text.toString());
    }

    /**
     * One attempt to generate the rest of a stream.
     *
     * @param number of the attempt, starting at 1
     * @param startOffset number of the first chunk to generate
     * @param textSoFar the text of all chunks before it
     */
    public record Attempt(int number, int startOffset, String textSoFar) {}
}
