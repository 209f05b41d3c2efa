package org.bronzelug.daemon.platform;

/** A call to the platform failed; its effect, if it was a write, is not known. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    public PlatformException(String message) {
        super(message + "; the platform may be down or slow: try again later");
    }

    public PlatformException(String message, Throwable cause) {
        super(message + "; the platform may be down or slow: try again later", cause);
    }
}
