package org.bronzelug.kernel;

/** A component of the process whose lifecycle the {@link Kernel} manages. */
public interface Service {
    /** Returns the name by which other services find this one. */
    String name();

    /** Starts the service; the services registered before it are running. */
    void start() throws ServiceException;

    /** Stops the service and releases its resources; called once, also after a failed start. */
    void stop();
}
