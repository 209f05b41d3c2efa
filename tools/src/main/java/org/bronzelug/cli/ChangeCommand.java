package org.bronzelug.cli;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.ChangeRequest;

/**
 * A subcommand that applies one change.
 *
 * @param arguments adds the change's own arguments
 * @param change sets the change in the request
 */
record ChangeCommand(
        String name,
        String help,
        Consumer<Subparser> arguments,
        BiConsumer<Namespace, ChangeRequest.Builder> change)
        implements Command {

    @Override
    public void addArguments(Subparser parser) {
        arguments.accept(parser);
        parser.addArgument("--operator")
                .setDefault(System.getProperty("user.name", "unknown"))
                .help("who changes it, for the audit trail");
        parser.addArgument("--reason").setDefault("").help("why, for the audit trail");
        parser.addArgument("--expect-version")
                .type(Long.class)
                .setDefault(0L)
                .help("refuse the change if the object has another version");
    }

    @Override
    public void run(Namespace options, CommandEnvironment environment) throws CommandException {
        ChangeRequest.Builder request =
                ChangeRequest.newBuilder()
                        .setOperatorName(options.getString("operator"))
                        .setReason(options.getString("reason"))
                        .setExpectedVersion(options.getLong("expect_version"));
        change.accept(options, request);
        ChangeAnswer answer = environment.operator(operator -> operator.change(request.build()));
        if (!answer.getKey().isEmpty()) {
            // The key alone on its line, so that a script can keep it in a file.
            environment.output().print(answer, answer.getKey());
        } else if (!answer.hasProblem()) {
            environment.output().print(answer, describe(answer));
        }
        CommandEnvironment.requireNone(answer.hasProblem(), answer.getProblem());
    }

    private static String describe(ChangeAnswer answer) {
        return answer.getObject()
                + " is at version "
                + answer.getVersion()
                + (answer.getInForce() ? ", in force" : ", not yet in force everywhere");
    }
}
