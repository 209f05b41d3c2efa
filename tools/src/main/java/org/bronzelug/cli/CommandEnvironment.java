package org.bronzelug.cli;

import io.grpc.StatusRuntimeException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.bronzelug.api.Execution;
import org.bronzelug.api.OperatorGrpc;
import org.bronzelug.api.Problem;
import org.bronzelug.client.Channels;
import org.bronzelug.client.ClientException;
import org.bronzelug.client.Credential;
import org.bronzelug.client.RouterClient;

/** What subcommands work with. Not thread-safe. */
final class CommandEnvironment implements AutoCloseable {
    private static final long CALL_SECONDS = 30;

    private final List<String> vms;
    private final Output output;
    private final Secrets secrets;
    private final Channels channels = new Channels();

    CommandEnvironment(List<String> vms, Output output, Secrets secrets) {
        this.vms = List.copyOf(vms);
        this.output = output;
        this.secrets = secrets;
    }

    Output output() {
        return output;
    }

    RouterClient router() throws CommandException {
        return new RouterClient(channels, Credential.ofKey(secrets.read(Secrets.KEY)), vms);
    }

    /** Calls the first VM that can be reached, as an operator. */
    <T> T operator(Function<OperatorGrpc.OperatorBlockingStub, T> call) throws CommandException {
        Credential secret = Credential.ofOperator(secrets.read(Secrets.OPERATOR_SECRET));
        StatusRuntimeException last = null;
        for (String vm : vms) {
            try {
                return call.apply(
                        OperatorGrpc.newBlockingStub(channels.to(vm))
                                .withCallCredentials(secret)
                                .withDeadlineAfter(CALL_SECONDS, TimeUnit.SECONDS));
            } catch (StatusRuntimeException failed) {
                if (failed.getStatus().getCode() != io.grpc.Status.Code.UNAVAILABLE) {
                    throw new CommandException(
                            ExitCode.REFUSED, String.valueOf(failed.getStatus().getDescription()));
                }
                last = failed;
            }
        }
        throw new CommandException(ExitCode.UNREACHABLE, "no VM of " + vms + " answered: " + last);
    }

    /** Turns a problem of an answer into the command's failure. */
    static void requireNone(boolean present, Problem problem) throws CommandException {
        if (present) {
            throw failure(problem);
        }
    }

    static CommandException failure(Problem problem) {
        boolean inDoubt = problem.getExecution() == Execution.IN_DOUBT;
        String retry =
                problem.getRetryAfterMs() > 0
                        ? " Come back in " + problem.getRetryAfterMs() + " ms."
                        : "";
        return new CommandException(
                inDoubt ? ExitCode.IN_DOUBT : ExitCode.REFUSED,
                problem.getCode()
                        + ": "
                        + problem.getMessage()
                        + ". Remedy: "
                        + problem.getRemedy()
                        + "."
                        + retry);
    }

    static CommandException failure(ClientException failed) {
        return failed.problem().getCode().equals("UNREACHABLE")
                        && failed.problem().getExecution() == Execution.NOT_RUN
                ? new CommandException(ExitCode.UNREACHABLE, failed.getMessage())
                : failure(failed.problem());
    }

    @Override
    public void close() {
        channels.close();
    }
}
