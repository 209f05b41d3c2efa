package org.bronzelug.kernel;

/** Thrown when a service can't start; the message says what to correct. */
public class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;

    public ServiceException(String message, Throwable cause) {
        super(message, cause);
    }
}
