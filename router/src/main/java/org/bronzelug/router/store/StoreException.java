package org.bronzelug.router.store;

/** Thrown when a call to the platform has failed. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    private final Problem problem;

    public StoreException(Problem problem, String message) {
        super(message);
        this.problem = problem;
    }

    public Problem problem() {
        return problem;
    }

    /** Returns the problem of a failed call; {@code UNAVAILABLE} if none is stated. */
    public static Problem problem(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof StoreException store ? store.problem() : Problem.UNAVAILABLE;
    }

    /** The kind of failure, which determines how to proceed. */
    public enum Problem {
        /** The connection was lost, or the response stated that nothing was done: retry later. */
        UNAVAILABLE,
        /** No response arrived in time: retry later. */
        UNANSWERED,
        /**
         * The platform no longer has the changes after the requested revision, or they can't be
         * read: list again.
         */
        HISTORY_GONE,
        /** The object was created or changed concurrently: read it and decide again. */
        CONFLICT,
        /** The object does not exist. */
        ABSENT
    }
}
