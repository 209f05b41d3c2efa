package org.bronzelug.daemon.platform;

/** Thrown when a call to the platform fails. If it was a write, its effect is unknown. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    public PlatformException(String message) {
        super(message + "; the platform may be down or slow: try again later");
    }

    public PlatformException(String message, Throwable cause) {
        super(message + "; the platform may be down or slow: try again later", cause);
    }
}
