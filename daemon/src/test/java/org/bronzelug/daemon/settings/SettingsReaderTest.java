package org.bronzelug.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a daemon that starts with invalid settings, or that rejects them without saying
 * where the fault is: the file is validated as a whole before anything starts.
 */
class SettingsReaderTest {
    private static final String VALID =
            """
            {
              "vm": "wien-nord-1", // a comment
              "availabilityZone": "wien-nord",
              "listen": {
                "callers": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
                "monitor": "127.0.0.1:0"
              },
              "platformUrl": "http://127.0.0.1:1",
              "peerSecretFile": "secret",
              "limits": {"drainMillis": 5}
            }
            """;

    @TempDir Path folder;

    private Settings read(String text) throws Exception {
        return SettingsReader.read(Files.writeString(folder.resolve("settings.json"), text));
    }

    @Test
    void commentsAreIgnoredAndMissingLimitsHaveTheirDefaults() throws Exception {
        Settings settings = read(VALID);
        assertThat(settings.vm()).isEqualTo("wien-nord-1");
        assertThat(settings.limits().drainMillis()).isEqualTo(5);
        assertThat(settings.limits().freshnessMillis())
                .isEqualTo(LimitField.FRESHNESS_MILLIS.defaultValue());
    }

    @ParameterizedTest
    @CsvSource({
        "'\"wien-nord-1\"', '\"Wien!\"', 2, vm",
        "'\"vm\":', '\"vmm\":', 1, vm",
        "'\"drainMillis\": 5', '\"drainMillis\": -1', 11, drainMillis",
        "'\"drainMillis\": 5', '\"drainMillis\": 1.5', 11, drainMillis",
        "'\"drainMillis\": 5', '\"drainTime\": 5', 11, drainTime",
        "'http://', 'ftp://', 9, platformUrl",
        "'\"monitor\": \"127.0.0.1:0\"', '\"monitor\": \"localhost:0\"', 7, monitor",
    })
    void invalidFieldIsReportedWithLineFieldFoundExpectedAndRemedy(
            String regex, String replacement, int line, String field) {
        SettingsException rejected =
                assertThrows(
                        SettingsException.class,
                        () -> read(VALID.replaceFirst(regex, replacement)));
        assertThat(rejected).hasMessageThat().contains("settings.json:" + line + ":");
        assertThat(rejected).hasMessageThat().contains("\"" + field + "\"");
        assertThat(rejected).hasMessageThat().containsMatch("met .*, expected .*Remedy: ");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "{\"vm\": \"a\", \"vm\": \"b\"}", "\u0000"})
    void contentThatIsNotOneJsonObjectIsRejected(String text) {
        assertThrows(SettingsException.class, () -> read(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"association-wien-nord-1.json", "taploen-dk-east-a-1.json"})
    void exampleFileIsValid(String example) throws Exception {
        Path root = Path.of(System.getProperty("bronzelug.root"));
        assertThat(SettingsReader.read(root.resolve("examples").resolve(example)).vm())
                .isNotEmpty();
    }
}
