package org.bronzelug.client;

import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;

/**
 * Thrown when a request fails. Its {@link #problem} says whether the request may have run, and when
 * to retry it.
 */
public final class ClientException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem problem;

    public ClientException(Problem problem) {
        super(
                problem.getCode()
                        + ": "
                        + problem.getMessage()
                        + ". Remedy: "
                        + problem.getRemedy()
                        + ".");
        this.problem = problem;
    }

    public ClientException(String message, Execution execution) {
        this(
                Problem.newBuilder()
                        .setCode("UNREACHABLE")
                        .setMessage(message)
                        .setRemedy("check the addresses, then retry")
                        .setExecution(execution)
                        .build());
    }

    public Problem problem() {
        return problem;
    }
}
