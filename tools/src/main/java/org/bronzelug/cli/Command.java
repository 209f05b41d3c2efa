package org.bronzelug.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A subcommand. Implementations are stateless. */
interface Command {
    /** Returns the subcommand's name on the command line. */
    String name();

    /** Returns one line for the list of subcommands. */
    String help();

    /** Adds the subcommand's own arguments. */
    void addArguments(Subparser parser);

    /**
     * Runs the subcommand.
     *
     * @param environment stays open; whoever calls this method closes it
     */
    void run(Namespace options, CommandEnvironment environment) throws CommandException;
}
