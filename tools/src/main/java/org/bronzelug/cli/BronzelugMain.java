package org.bronzelug.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The entry point of the command-line tool. Stateless. */
public final class BronzelugMain {
    private static final String VMS = "BRONZELUG_VMS";

    private BronzelugMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments, System.getenv(), System.out, System.err).number());
    }

    /** Runs one command and returns its exit code. */
    static ExitCode run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(arguments);
            Output output = new Output(out, options.getString("output").equals("json"));
            List<String> vms = vms(options, environment);
            Secrets secrets = new Secrets(environment);
            try (CommandEnvironment commandEnvironment =
                    new CommandEnvironment(vms, output, secrets)) {
                command(options.getString("command")).run(options, commandEnvironment);
            }
            return ExitCode.OK;
        } catch (net.sourceforge.argparse4j.helper.HelpScreenException help) {
            parser.handleError(help);
            return ExitCode.OK;
        } catch (ArgumentParserException invalid) {
            parser.handleError(invalid);
            return ExitCode.USAGE;
        } catch (CommandException failed) {
            err.println(failed.getMessage());
            return failed.code();
        }
    }

    private static List<String> vms(Namespace options, Map<String, String> environment)
            throws CommandException {
        String argument = options.getString("vms");
        String text = argument == null ? environment.get(VMS) : argument;
        if (text == null || text.isBlank()) {
            throw new CommandException(
                    ExitCode.USAGE, "specify VMs with --vms or " + VMS + " as IP:port,IP:port");
        }
        return List.of(text.split(","));
    }

    /** Returns the names of all subcommands, in the order that the help shows. */
    public static List<String> commandNames() {
        return commands().stream().map(Command::name).toList();
    }

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>(CallerCommands.all());
        commands.addAll(ChangeCommands.all());
        commands.add(new AuditCommand());
        commands.add(new StatusCommand());
        return commands;
    }

    private static Command command(String name) {
        return commands().stream()
                .filter(command -> command.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("bronzelug")
                        // Detecting the width starts a child process.
                        .terminalWidthDetection(false)
                        .build()
                        .description("Administers a bronzelug system and sends requests to it.")
                        .epilog(
                                "Keys and secrets are read from the environment only: BRONZELUG_KEY"
                                        + " or BRONZELUG_KEY_FILE, BRONZELUG_OPERATOR_SECRET or"
                                        + " BRONZELUG_OPERATOR_SECRET_FILE. Exit codes: 0 success,"
                                        + " 1 rejected, 2 in doubt, 64 usage error, 69 no VM"
                                        + " reachable.");
        parser.addArgument("--vms").help("addresses of VMs: IP:port,IP:port (or " + VMS + ")");
        parser.addArgument("--output").choices("text", "json").setDefault("text");
        Subparsers subparsers = parser.addSubparsers().dest("command").metavar("COMMAND");
        for (Command command : commands()) {
            command.addArguments(subparsers.addParser(command.name()).help(command.help()));
        }
        return parser;
    }
}
