package org.bronzelug.router.exchange;

/**
 * Thrown if a caller's request cannot be decoded. The message states what was found and what was
 * expected, and is sent to the caller.
 */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedRequestException(String message) {
        super(message);
    }
}
