package org.bronzelug.cli;

/** Thrown when a command fails; carries the exit code. */
final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CommandException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
