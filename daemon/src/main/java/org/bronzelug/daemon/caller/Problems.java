package org.bronzelug.daemon.caller;

import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.protobuf.ProtoUtils;
import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;
import org.bronzelug.daemon.generate.ProblemCode;

/**
 * Creates problems for responses, and gRPC errors for responses that have no field for a problem.
 * Stateless.
 */
public final class Problems {
    private static final Metadata.Key<Problem> TRAILER =
            ProtoUtils.keyForProto(Problem.getDefaultInstance());

    private Problems() {}

    /** Converts a problem to a gRPC error that carries the typed problem in its trailers. */
    public static StatusRuntimeException toStatus(Problem problem) {
        Metadata trailers = new Metadata();
        trailers.put(TRAILER, problem);
        return Status.FAILED_PRECONDITION
                .withDescription(
                        problem.getCode()
                                + ": "
                                + problem.getMessage()
                                + ". Remedy: "
                                + problem.getRemedy())
                .asRuntimeException(trailers);
    }

    static Problem stopping() {
        return Problem.newBuilder()
                .setCode(ProblemCode.STOPPING.name())
                .setMessage("this VM is stopping")
                .setRemedy("use another VM")
                .setExecution(Execution.NOT_RUN)
                .setRetryAfterMs(1)
                .build();
    }

    static Problem internal() {
        return Problem.newBuilder()
                .setCode(ProblemCode.ENDPOINTS_FAILED.name())
                .setMessage("an unexpected error; event 900 in this VM's log has it")
                .setRemedy("ask again, and report the event")
                .setExecution(Execution.IN_DOUBT)
                .setRetryAfterMs(1_000)
                .build();
    }
}
