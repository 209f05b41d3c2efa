package org.bronzelug.standin;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Command line of the simulated outside systems. Stateless and thread-safe. */
public final class StandinMain {
    private static final int USAGE_ERROR = 64;

    private StandinMain() {}

    /** Starts one simulated system, which serves until the process is stopped. */
    public static void main(String[] arguments) {
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(arguments);
            HttpStandin standin = create(options);
            standin.start();
            System.out.println(options.getString("program") + " ready at " + standin.url());
        } catch (ArgumentParserException invalid) {
            parser.handleError(invalid);
            System.exit(USAGE_ERROR);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("bronzelug-standin")
                        // Detecting the width starts a child process.
                        .terminalWidthDetection(false)
                        .build()
                        .description("Simulated outside systems for tests and demonstrations");
        Subparsers programs = parser.addSubparsers().dest("program");
        addProgram(programs, "platform", "the platform's object API");
        Subparser model = addProgram(programs, "model-runner", "a model engine");
        model.addArgument("--checks-fencing")
                .action(storeTrue())
                .help("reject orders with an old fencing number");
        model.addArgument("--cache-tokens")
                .type(Integer.class)
                .setDefault(RunnerTimes.defaults().cacheTokens())
                .help("capacity of the prefix cache, in tokens");
        Subparser application =
                addProgram(programs, "application-runner", "a plain service that runs actions");
        application
                .addArgument("--deduplicates")
                .action(storeTrue())
                .help("execute each action id only once");
        return parser;
    }

    private static net.sourceforge.argparse4j.inf.ArgumentAction storeTrue() {
        return net.sourceforge.argparse4j.impl.Arguments.storeTrue();
    }

    private static Subparser addProgram(Subparsers programs, String name, String help) {
        Subparser program = programs.addParser(name).help(help);
        program.addArgument("--host").setDefault("127.0.0.1").help("IP address to listen on");
        program.addArgument("--port")
                .type(Integer.class)
                .setDefault(0)
                .help("port to listen on; 0 for any free port");
        return program;
    }

    private static HttpStandin create(Namespace options) {
        String host = options.getString("host");
        int port = options.getInt("port");
        return switch (options.getString("program")) {
            case "platform" -> new PlatformStandin(host, port);
            case "model-runner" -> {
                RunnerTimes defaults = RunnerTimes.defaults();
                RunnerTimes times =
                        new RunnerTimes(
                                defaults.prefillNanosPerToken(),
                                defaults.decodeNanosPerToken(),
                                defaults.weightsLoadMillis(),
                                options.getInt("cache_tokens"));
                boolean fencing = options.getBoolean("checks_fencing");
                yield new ModelRunnerStandin(host, port, times, fencing);
            }
            case "application-runner" ->
                    new ApplicationRunnerStandin(host, port, options.getBoolean("deduplicates"));
            default -> throw new IllegalArgumentException(options.getString("program"));
        };
    }
}
