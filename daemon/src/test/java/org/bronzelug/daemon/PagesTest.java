package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bronzelug.daemon.generate.ProblemCode;
import org.bronzelug.daemon.settings.LimitField;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.log.LogEvent;
import org.junit.jupiter.api.Test;

/**
 * Guards against documentation that differs from the code: an event, a setting or a problem code is
 * added, renamed or changed, and its page is not.
 */
class PagesTest {
    private static final Path ROOT = Path.of(System.getProperty("bronzelug.root"));

    private static String page(String name) throws IOException {
        return Files.readString(ROOT.resolve("docs").resolve(name));
    }

    private static List<String> matches(String regex, String text) {
        List<String> found = new ArrayList<>();
        Matcher matcher = Pattern.compile(regex, Pattern.MULTILINE).matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }

    @Test
    void eventsPageListsExactlyTheLogEvents() throws Exception {
        List<String> expected = new ArrayList<>();
        for (LogEvent event : LogEvent.values()) {
            expected.add(event.number() + " | " + event.name());
        }
        assertThat(matches("^\\| (\\d+ \\| [A-Z_]+) \\|", page("EVENTS.md")))
                .containsExactlyElementsIn(expected);
    }

    @Test
    void everyLogEventIsUsedInTheCode() throws Exception {
        StringBuilder sources = new StringBuilder();
        for (String module : List.of("daemon", "router", "platform")) {
            try (var files = Files.walk(ROOT.resolve(module + "/src/main/java"))) {
                for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    sources.append(Files.readString(file));
                }
            }
        }
        for (LogEvent event : LogEvent.values()) {
            assertThat(sources.toString()).contains("LogEvent." + event.name());
        }
    }

    @Test
    void settingsPageListsExactlyTheLimitFields() throws Exception {
        List<String> expected = new ArrayList<>();
        for (LimitField field : LimitField.values()) {
            expected.add(
                    String.format(
                            "`limits.%s` | %,d–%,d; %,d",
                            field.fieldName(),
                            field.minimum(),
                            field.maximum(),
                            field.defaultValue()));
        }
        assertThat(matches("^\\| (`limits\\.\\w+` \\| [\\d,–; ]+) \\|", page("SETTINGS.md")))
                .containsExactlyElementsIn(expected);
    }

    @Test
    void settingsPageListsEveryOtherField() throws Exception {
        String page = page("SETTINGS.md");
        for (RecordComponent field : Settings.class.getRecordComponents()) {
            if (!field.getType().isRecord()) {
                assertThat(page).contains("| `" + field.getName() + "` |");
                continue;
            }
            for (RecordComponent inner : field.getType().getRecordComponents()) {
                assertThat(page).contains("`" + field.getName() + "." + inner.getName() + "`");
            }
        }
    }

    @Test
    void schemaPageContainsEveryProblemCode() throws Exception {
        String page = page("SCHEMA.md");
        for (ProblemCode code : ProblemCode.values()) {
            assertThat(page).contains(code.name());
        }
    }
}
