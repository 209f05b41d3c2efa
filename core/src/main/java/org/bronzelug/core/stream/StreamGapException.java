package org.bronzelug.core.stream;

/** Thrown if a runner has omitted a chunk of a stream. */
public final class StreamGapException extends Exception {
    private static final long serialVersionUID = 1L;

    public StreamGapException(int expected, int received) {
        super(
                "expected chunk "
                        + expected
                        + " but the runner sent "
                        + received
                        + "; the stream continues with another attempt");
    }
}
