package org.bronzelug.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One subcommand. Implementations are stateless. */
interface Command {
    /** The subcommand's name on the command line. */
    String name();

    /** One line for the list of subcommands. */
    String help();

    /** Adds the subcommand's own arguments. */
    void addArguments(Subparser parser);

    /** Runs it; the environment is closed by the caller. */
    void run(Namespace options, CommandEnvironment environment) throws CommandException;
}
