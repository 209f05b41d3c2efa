package org.bronzelug.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** The entry point of the measurement program. Stateless. */
public final class MeasureMain {
    private static final int USAGE_ERROR = 64;

    private MeasureMain() {}

    public static void main(String[] arguments) throws IOException, InterruptedException {
        ArgumentParser parser = parser();
        try {
            run(parser.parseArgs(arguments));
        } catch (ArgumentParserException invalid) {
            parser.handleError(invalid);
            System.exit(USAGE_ERROR);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("measure")
                        // Detecting the width starts a child process.
                        .terminalWidthDetection(false)
                        .build()
                        .description("Compares the production routing policy with baselines.");
        parser.addArgument("--profile")
                .choices("association", "taploen", "both")
                .setDefault("both")
                .help("deployment to simulate");
        parser.addArgument("--fault")
                .choices(Arrays.stream(Fault.values()).map(Fault::label).toList())
                .setDefault(Fault.NONE.label());
        parser.addArgument("--flood")
                .action(Arguments.storeTrue())
                .help("one team sends several times its rate");
        parser.addArgument("--seeds").type(Integer.class).setDefault(5);
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(120)
                .help("length of a run in virtual seconds");
        parser.addArgument("--streams")
                .type(Integer.class)
                .setDefault(64)
                .help("streams that one VM sends to a runner at once; more wait in the VM's queue");
        parser.addArgument("--policy")
                .choices(Arrays.stream(Policy.values()).map(Policy::label).toList())
                .help("measure only this policy");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("also print JSON lines");
        parser.addArgument("--plot")
                .help("write a chart of the p99 time to first token to this PNG file");
        parser.addArgument("--slopes")
                .action(Arguments.storeTrue())
                .help("memory and time per additional prefix, peer, team, bucket and record");
        parser.addArgument("--spreading")
                .action(Arguments.storeTrue())
                .help("how a configuration change propagates, at 7, 35 and 350 VMs");
        parser.addArgument("--live")
                .action(Arguments.storeTrue())
                .help("the latency that the router adds, with real processes on loopback");
        parser.addArgument("--live-vm").help(Arguments.SUPPRESS);
        parser.addArgument("--live-operator-secret").help(Arguments.SUPPRESS);
        parser.addArgument("--live-runner").help(Arguments.SUPPRESS);
        parser.addArgument("--freshness")
                .action(Arguments.storeTrue())
                .help("how stale the VMs' configuration gets in an outage, at 7, 35 and 350 VMs");
        parser.addArgument("--rollout")
                .action(Arguments.storeTrue())
                .help("ways to judge a software version on trial: power and false alarms");
        return parser;
    }

    private static void run(Namespace options) throws IOException, InterruptedException {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        if (options.getBoolean("slopes")) {
            new SlopeMeasurement(out).run();
            return;
        }
        if (options.getBoolean("spreading")) {
            SpreadingMeasurement.run(out, options.getInt("seeds"));
            return;
        }
        if (options.getBoolean("live")) {
            LiveMeasurement.run(
                    out,
                    options.getString("live_vm"),
                    Path.of(options.getString("live_operator_secret")),
                    options.getString("live_runner"),
                    options.getInt("seeds"));
            return;
        }
        if (options.getBoolean("freshness")) {
            FreshnessMeasurement.run(out, options.getInt("seeds"));
            return;
        }
        if (options.getBoolean("rollout")) {
            RolloutMeasurement.run(out, options.getInt("seeds"));
            return;
        }
        String name = options.getString("profile");
        List<Profile> profiles =
                name.equals("both")
                        ? List.of(Profile.association(), Profile.taploen())
                        : List.of(Profile.named(name));
        for (Profile profile : profiles) {
            compare(profile, options, out);
        }
    }

    private static void compare(Profile profile, Namespace options, PrintStream out)
            throws IOException {
        PolicyComparison comparison =
                new PolicyComparison(
                        new RunSettings(
                                profile,
                                fault(options.getString("fault")),
                                options.getBoolean("flood"),
                                options.getInt("seconds"),
                                options.getInt("streams")),
                        options.getInt("seeds"));
        comparison.run(policies(options.getString("policy")));
        comparison.print(out);
        if (options.getBoolean("json")) {
            comparison.printJson(out);
        }
        if (options.getString("plot") != null) {
            comparison.plot(Path.of(options.getString("plot")));
        }
    }

    private static Fault fault(String label) {
        return Arrays.stream(Fault.values())
                .filter(fault -> fault.label().equals(label))
                .findFirst()
                .orElseThrow();
    }

    private static List<Policy> policies(String label) {
        return Arrays.stream(Policy.values())
                .filter(policy -> label == null || policy.label().equals(label))
                .toList();
    }
}
