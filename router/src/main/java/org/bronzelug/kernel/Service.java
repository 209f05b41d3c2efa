package org.bronzelug.kernel;

/** A part of the daemon with a life of its own. Started and stopped by the {@link Kernel}. */
public interface Service {
    /** The name by which other services find this one. */
    String name();

    /** Starts the service; those registered before it are running. */
    void start() throws ServiceException;

    /** Stops the service and frees what it holds; called once, also after a failed start. */
    void stop();
}
