package org.bronzelug.core.stream;

/** A runner left out a chunk. */
public final class StreamGapException extends Exception {
    private static final long serialVersionUID = 1L;

    public StreamGapException(int expected, int met) {
        super(
                "expected chunk "
                        + expected
                        + " but the runner sent "
                        + met
                        + "; the stream goes on with another attempt");
    }
}
