package org.bronzelug.daemon.generate;

import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;

/**
 * Thrown if a request is rejected or fails. The problem states the reason, whether the request ran,
 * when to retry, and the remedy.
 */
public final class RejectionException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    public RejectionException(Problem problem) {
        super(problem.getCode() + ": " + problem.getMessage());
        this.problem = problem;
    }

    public Problem problem() {
        return problem;
    }

    /** Returns the rejection of a request that did not run. */
    public static RejectionException notRun(
            ProblemCode code, String message, String remedy, long retryAfterMillis) {
        return new RejectionException(
                Problem.newBuilder()
                        .setCode(code.name())
                        .setMessage(message)
                        .setRemedy(remedy)
                        .setExecution(Execution.NOT_RUN)
                        .setRetryAfterMs(retryAfterMillis)
                        .build());
    }
}
