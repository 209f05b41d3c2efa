package org.bronzelug.daemon.action;

import com.google.protobuf.ByteString;
import org.bronzelug.api.Execution;
import org.bronzelug.api.Problem;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.core.action.ActionOutcome;
import org.bronzelug.daemon.generate.ProblemCode;

/** Translates between action outcomes and {@link RunActionAnswer}s. Stateless and thread-safe. */
final class ActionAnswers {
    private static final long RETRY_AFTER_MILLIS = 500;

    private ActionAnswers() {}

    static RunActionAnswer.Builder of(ActionOutcome outcome, boolean repeated) {
        return switch (outcome) {
            case ActionOutcome.Ran ran ->
                    RunActionAnswer.newBuilder()
                            .setExecution(Execution.RAN)
                            .setBody(ByteString.copyFrom(ran.response()))
                            .setRepeated(repeated);
            case ActionOutcome.InDoubt inDoubt -> inDoubt(inDoubt.reason(), 0);
            case ActionOutcome.NotRun notRun -> notRun(notRun.reason());
        };
    }

    static ActionOutcome toOutcome(RunActionAnswer answer) {
        return switch (answer.getExecution()) {
            case RAN -> new ActionOutcome.Ran(answer.getBody().toByteArray());
            case NOT_RUN -> new ActionOutcome.NotRun(answer.getProblem().getMessage());
            default -> new ActionOutcome.InDoubt(answer.getProblem().getMessage());
        };
    }

    static RunActionAnswer.Builder inDoubt(String reason, long retryAfterMillis) {
        String remedy =
                retryAfterMillis > 0
                        ? "ask again with the same action_id after the time given"
                        : "find out by other means whether it took effect; it is not repeated";
        return withProblem(
                Execution.IN_DOUBT, ProblemCode.ACTION_IN_DOUBT, reason, remedy, retryAfterMillis);
    }

    static RunActionAnswer.Builder notRun(String reason) {
        return withProblem(
                Execution.NOT_RUN,
                ProblemCode.ACTION_NOT_RUN,
                reason,
                "ask again, with a new action_id if the message names the VM as stopping",
                RETRY_AFTER_MILLIS);
    }

    private static RunActionAnswer.Builder withProblem(
            Execution execution,
            ProblemCode code,
            String message,
            String remedy,
            long retryAfterMillis) {
        Problem problem =
                Problem.newBuilder()
                        .setCode(code.name())
                        .setMessage(message)
                        .setRemedy(remedy)
                        .setExecution(execution)
                        .setRetryAfterMs(retryAfterMillis)
                        .build();
        return RunActionAnswer.newBuilder().setExecution(execution).setProblem(problem);
    }
}
