package org.bronzelug.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Reads keys and secrets from environment variables, or from files named by environment variables.
 * Never reads them from command-line arguments, which other users of the machine can see.
 * Immutable.
 */
final class Secrets {
    static final String KEY = "BRONZELUG_KEY";
    static final String OPERATOR_SECRET = "BRONZELUG_OPERATOR_SECRET";
    private static final String FILE_SUFFIX = "_FILE";

    private final Map<String, String> environment;

    Secrets(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Returns the value of the variable {@code name}, or the content of the file in NAME_FILE. */
    String read(String name) throws CommandException {
        String value = environment.get(name);
        if (value != null) {
            return value.strip();
        }
        String file = environment.get(name + FILE_SUFFIX);
        if (file == null) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "set " + name + " or " + name + FILE_SUFFIX + " in the environment");
        }
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException unreadable) {
            throw new CommandException(
                    ExitCode.USAGE,
                    name + FILE_SUFFIX + " is set to " + file + ", which cannot be read");
        }
    }
}
