package org.bronzelug.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Reads keys and secrets from the environment or from files that it names, never from arguments,
 * where other users of the machine could see them. Immutable.
 */
final class Secrets {
    static final String KEY = "BRONZELUG_KEY";
    static final String OPERATOR_SECRET = "BRONZELUG_OPERATOR_SECRET";
    private static final String FILE_SUFFIX = "_FILE";

    private final Map<String, String> environment;

    Secrets(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** The secret under a name of the environment, or in the file that NAME_FILE names. */
    String read(String name) throws CommandException {
        String value = environment.get(name);
        if (value != null) {
            return value.strip();
        }
        String file = environment.get(name + FILE_SUFFIX);
        if (file == null) {
            throw new CommandException(
                    ExitCode.USAGE, "set " + name + " or " + name + FILE_SUFFIX + " first");
        }
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException unreadable) {
            throw new CommandException(
                    ExitCode.USAGE,
                    name + FILE_SUFFIX + " names " + file + ", which can't be read");
        }
    }
}
