package org.bronzelug.kernel;

/** A service could not start; the message says what to mend. */
public class ServiceException extends Exception {
    private static final long serialVersionUID = 1L;

    public ServiceException(String message, Throwable cause) {
        super(message, cause);
    }
}
