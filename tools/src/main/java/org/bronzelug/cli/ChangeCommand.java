package org.bronzelug.cli;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.ChangeRequest;

/**
 * A subcommand that applies one configuration change. Immutable.
 *
 * @param name the subcommand's name on the command line
 * @param help one line for the list of subcommands
 * @param arguments adds the subcommand's own arguments
 * @param change sets the change in the request from the parsed options
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
                .help("operator's name for the audit trail");
        parser.addArgument("--reason").setDefault("").help("reason for the audit trail");
        parser.addArgument("--expect-version")
                .type(Long.class)
                .setDefault(0L)
                .help("reject the change if the object has a different version");
    }

    @Override
    public void run(Namespace options, CommandEnvironment environment) throws CommandException {
        ChangeRequest.Builder request =
                ChangeRequest.newBuilder()
                        .setOperatorName(options.getString("operator"))
                        .setReason(options.getString("reason"))
                        .setExpectedVersion(options.getLong("expect_version"));
        change.accept(options, request);
        ChangeAnswer answer =
                environment.callOperator(operator -> operator.change(request.build()));
        if (!answer.getKey().isEmpty()) {
            // Prints only the key, so that a script can redirect it to a file.
            environment.output().print(answer, answer.getKey());
        } else if (!answer.hasProblem()) {
            environment.output().print(answer, describe(answer));
        }
        CommandEnvironment.throwIfPresent(answer.hasProblem(), answer.getProblem());
    }

    private static String describe(ChangeAnswer answer) {
        return answer.getObject()
                + " is at version "
                + answer.getVersion()
                + (answer.getInForce() ? ", in force" : ", not yet in force everywhere");
    }
}
