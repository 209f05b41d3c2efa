package org.bronzelug.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the exit codes and messages of the command line, and that docs/CLI.md lists its commands.
 */
class BronzelugMainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(Map<String, String> environment, String... arguments) {
        return BronzelugMain.run(
                arguments,
                environment,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"status", "audit team/x", "nonsense", "generate"})
    void invalidUsageReturnsTheUsageCode(String line) {
        assertThat(run(Map.of(), line.split(" "))).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void missingSecretIsNamedInTheMessage() {
        assertThat(run(Map.of(), "--vms", "127.0.0.1:1", "status")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("BRONZELUG_OPERATOR_SECRET");
    }

    @Test
    void unreachableVmReturnsTheUnreachableCode() {
        Map<String, String> environment =
                Map.of("BRONZELUG_OPERATOR_SECRET", "s", "BRONZELUG_KEY", "k");
        assertThat(run(environment, "--vms", "127.0.0.1:1", "status"))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(run(environment, "--vms", "127.0.0.1:1", "locate"))
                .isEqualTo(ExitCode.UNREACHABLE);
    }

    @Test
    void documentationListsExactlyTheCommands() throws Exception {
        Path root = Path.of(System.getProperty("bronzelug.root"));
        Matcher rows =
                Pattern.compile("^\\| `([a-z-]+)` \\| (?:caller|operator)", Pattern.MULTILINE)
                        .matcher(Files.readString(root.resolve("docs/CLI.md")));
        List<String> documented = new ArrayList<>();
        while (rows.find()) {
            documented.add(rows.group(1));
        }
        assertThat(documented).containsExactlyElementsIn(BronzelugMain.commandNames());
    }
}
