package org.bronzelug.daemon.runner;

/** A call to an endpoint failed. */
public final class RunnerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean notRun;

    /**
     * @param notRun whether the call certainly had no effect
     */
    public RunnerException(String message, boolean notRun) {
        super(message);
        this.notRun = notRun;
    }

    public RunnerException(String message, boolean notRun, Throwable cause) {
        super(message, cause);
        this.notRun = notRun;
    }

    /** Whether the call certainly had no effect: nothing was sent, or it was refused unrun. */
    public boolean isNotRun() {
        return notRun;
    }
}
