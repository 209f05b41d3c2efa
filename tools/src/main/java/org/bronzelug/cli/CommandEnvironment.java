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

/** The connections, credentials and output that subcommands use. Not thread-safe. */
final class CommandEnvironment implements AutoCloseable {
    private static final long CALL_TIMEOUT_SECONDS = 30;

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

    /** Makes a call with the operators' secret to the first reachable VM. */
    <T> T callOperator(Function<OperatorGrpc.OperatorBlockingStub, T> call)
            throws CommandException {
        Credential secret = Credential.ofOperator(secrets.read(Secrets.OPERATOR_SECRET));
        StatusRuntimeException lastFailure = null;
        for (String vm : vms) {
            try {
                return call.apply(
                        OperatorGrpc.newBlockingStub(channels.to(vm))
                                .withCallCredentials(secret)
                                .withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            } catch (StatusRuntimeException failed) {
                if (failed.getStatus().getCode() != io.grpc.Status.Code.UNAVAILABLE) {
                    throw new CommandException(
                            ExitCode.REFUSED, String.valueOf(failed.getStatus().getDescription()));
                }
                lastFailure = failed;
            }
        }
        throw new CommandException(
                ExitCode.UNREACHABLE, "none of the VMs " + vms + " answered: " + lastFailure);
    }

    /** Throws the problem of a response as a {@link CommandException}, if it has one. */
    static void throwIfPresent(boolean present, Problem problem) throws CommandException {
        if (present) {
            throw toCommandException(problem);
        }
    }

    static CommandException toCommandException(Problem problem) {
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

    static CommandException toCommandException(ClientException failed) {
        return failed.problem().getCode().equals("UNREACHABLE")
                        && failed.problem().getExecution() == Execution.NOT_RUN
                ? new CommandException(ExitCode.UNREACHABLE, failed.getMessage())
                : toCommandException(failed.problem());
    }

    @Override
    public void close() {
        channels.close();
    }
}
