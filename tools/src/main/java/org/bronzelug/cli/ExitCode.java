package org.bronzelug.cli;

/** The exit codes of the command-line tool, documented in docs/CLI.md. */
public enum ExitCode {
    OK(0),
    REFUSED(1),
    IN_DOUBT(2),
    USAGE(64),
    UNREACHABLE(69);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
