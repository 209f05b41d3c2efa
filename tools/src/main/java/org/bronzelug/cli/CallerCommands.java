package org.bronzelug.cli;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bronzelug.api.Finished;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.api.VmAddress;
import org.bronzelug.client.ClientException;
import org.bronzelug.client.RouterClient;

/** The subcommands that send requests with a team's key. Stateless. */
final class CallerCommands {
    private CallerCommands() {}

    static List<Command> all() {
        return List.of(new Locate(), new Generate(), new Act(), new Cancel());
    }

    /** Shows which VMs serve a prompt, and the prefix for new action ids. */
    private static final class Locate implements Command {
        @Override
        public String name() {
            return "locate";
        }

        @Override
        public String help() {
            return "show which VMs to use";
        }

        @Override
        public void addArguments(Subparser parser) {
            parser.addArgument("--model").setDefault("").help("name of the model");
            parser.addArgument("--root").setDefault("").help("first segment of the prompt");
        }

        @Override
        public void run(Namespace options, CommandEnvironment environment) throws CommandException {
            try {
                LocateAnswer answer =
                        environment
                                .router()
                                .locate(options.getString("model"), options.getString("root"));
                StringBuilder text = new StringBuilder();
                for (VmAddress vm : answer.getVmsList()) {
                    text.append(
                            String.format(
                                    "%s %s %s%n",
                                    vm.getVm(), vm.getAvailabilityZone(), vm.getAddress()));
                }
                text.append("action prefix ").append(answer.getActionPrefix());
                environment.output().print(answer, text.toString());
            } catch (ClientException failed) {
                throw CommandEnvironment.toCommandException(failed);
            }
        }
    }

    /** Streams one generation. */
    private static final class Generate implements Command {
        @Override
        public String name() {
            return "generate";
        }

        @Override
        public String help() {
            return "stream one generation";
        }

        @Override
        public void addArguments(Subparser parser) {
            parser.addArgument("--model").required(true).help("name of the model");
            parser.addArgument("--segment")
                    .action(Arguments.append())
                    .required(true)
                    .help("prompt segment, the most widely shared first; @FILE reads a file");
            parser.addArgument("--max-tokens").type(Integer.class).setDefault(64);
            parser.addArgument("--deadline-ms").type(Long.class).setDefault(0L);
            parser.addArgument("--request-id").setDefault("");
        }

        @Override
        public void run(Namespace options, CommandEnvironment environment) throws CommandException {
            String id = options.getString("request_id");
            GenerateRequest request =
                    GenerateRequest.newBuilder()
                            .setRequestId(id.isEmpty() ? UUID.randomUUID().toString() : id)
                            .setModel(options.getString("model"))
                            .addAllSegments(segments(options))
                            .setMaxTokens(options.getInt("max_tokens"))
                            .setDeadlineMs(options.getLong("deadline_ms"))
                            .build();
            try {
                Output output = environment.output();
                Finished finished =
                        environment
                                .router()
                                .generate(
                                        request,
                                        chunk -> output.printChunk(chunk, chunk.getText()));
                output.print(finished, "\n" + describe(finished));
            } catch (ClientException failed) {
                throw CommandEnvironment.toCommandException(failed);
            }
        }

        private static List<String> segments(Namespace options) throws CommandException {
            List<String> segments = new ArrayList<>();
            for (String segment : options.<String>getList("segment")) {
                segments.add(text(segment));
            }
            return segments;
        }

        private static String describe(Finished finished) {
            return String.format(
                    "%d chunks, VM %s, runner %s, %d of %d prompt tokens cached, %d attempt(s)",
                    finished.getChunks(),
                    finished.getVm(),
                    finished.getRunner(),
                    finished.getCachedTokens(),
                    finished.getPromptTokens(),
                    finished.getAttempts());
        }
    }

    private static String text(String argument) throws CommandException {
        if (!argument.startsWith("@")) {
            return argument;
        }
        try {
            return Files.readString(Path.of(argument.substring(1)));
        } catch (IOException unreadable) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + argument.substring(1));
        }
    }

    /** Runs one call on an application runner. */
    private static final class Act implements Command {
        @Override
        public String name() {
            return "act";
        }

        @Override
        public String help() {
            return "run one call on an application runner, at most once";
        }

        @Override
        public void addArguments(Subparser parser) {
            parser.addArgument("--pool").required(true).help("name of the pool");
            parser.addArgument("--method").required(true).help("method of the service");
            parser.addArgument("--body").setDefault("").help("request body; @FILE reads a file");
            parser.addArgument("--action-id")
                    .setDefault("")
                    .help("action id to retry; if absent, a new id is generated and printed");
            parser.addArgument("--idempotent")
                    .action(Arguments.storeTrue())
                    .help("the call may be retried");
        }

        @Override
        public void run(Namespace options, CommandEnvironment environment) throws CommandException {
            try {
                RouterClient router = environment.router();
                LocateAnswer location = router.locate("", "");
                String givenId = options.getString("action_id");
                String newId = location.getActionPrefix() + UUID.randomUUID();
                RunActionRequest request =
                        RunActionRequest.newBuilder()
                                .setActionId(givenId.isEmpty() ? newId : givenId)
                                .setPool(options.getString("pool"))
                                .setMethod(options.getString("method"))
                                .setBody(ByteString.copyFromUtf8(text(options.getString("body"))))
                                .setIdempotent(options.getBoolean("idempotent"))
                                .build();
                RunActionAnswer answer = router.runAction(request, location);
                environment.output().print(answer, describe(request, answer));
                CommandEnvironment.throwIfPresent(answer.hasProblem(), answer.getProblem());
            } catch (ClientException failed) {
                throw CommandEnvironment.toCommandException(failed);
            }
        }

        private static String describe(RunActionRequest request, RunActionAnswer answer) {
            return String.format(
                    "%s%s: %s%naction id %s, VM %s, runner %s",
                    answer.getExecution(),
                    answer.getRepeated() ? " before, answered again" : "",
                    answer.getBody().toStringUtf8(),
                    request.getActionId(),
                    answer.getVm(),
                    answer.getRunner().isEmpty() ? "-" : answer.getRunner());
        }
    }

    /** Cancels a generation. */
    private static final class Cancel implements Command {
        @Override
        public String name() {
            return "cancel";
        }

        @Override
        public String help() {
            return "cancel a generation";
        }

        @Override
        public void addArguments(Subparser parser) {
            parser.addArgument("request").help("id of the request");
        }

        @Override
        public void run(Namespace options, CommandEnvironment environment) throws CommandException {
            boolean found = environment.router().cancel(options.getString("request"));
            if (!found) {
                throw new CommandException(ExitCode.REFUSED, "no VM has this request in progress");
            }
        }
    }
}
