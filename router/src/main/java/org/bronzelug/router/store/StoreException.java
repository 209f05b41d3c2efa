package org.bronzelug.router.store;

/** A call to the platform did not do what was asked. */
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

    /** What the caller can do about it. */
    public enum Problem {
        /** No answer, or one that says that nothing was done: try again later. */
        UNAVAILABLE,
        /** The history asked for is gone: list again. */
        HISTORY_GONE,
        /** Another one has changed the object: read it and decide anew. */
        CONFLICT,
        /** There is no such object. */
        ABSENT
    }
}
