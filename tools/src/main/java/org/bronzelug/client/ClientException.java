package org.bronzelug.client;

import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;

/** A request did not succeed; tells whether it ran, and when to come back. */
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
                        .setRemedy("check the addresses, then ask again")
                        .setExecution(execution)
                        .build());
    }

    public Problem problem() {
        return problem;
    }
}
