package org.bronzelug.daemon.runner;

/** Thrown when a call to an endpoint fails. */
public final class RunnerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean notRun;

    /**
     * @param notRun whether the call had no effect for certain
     */
    public RunnerException(String message, boolean notRun) {
        super(message);
        this.notRun = notRun;
    }

    public RunnerException(String message, boolean notRun, Throwable cause) {
        super(message, cause);
        this.notRun = notRun;
    }

    /**
     * Returns whether the call had no effect for certain: it was never sent, or the endpoint
     * rejected it without running it.
     */
    public boolean isNotRun() {
        return notRun;
    }
}
