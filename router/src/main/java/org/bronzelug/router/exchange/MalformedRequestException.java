package org.bronzelug.router.exchange;

/** A caller's request can't be read; the message says what was met and expected. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedRequestException(String message) {
        super(message);
    }
}
