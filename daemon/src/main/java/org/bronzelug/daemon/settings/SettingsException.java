package org.bronzelug.daemon.settings;

/** A settings file is wrong: where, what was met, what is expected, and the remedy. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(
            String file, int line, String field, String met, String expected, String remedy) {
        super(
                String.format(
                        "%s:%d: field \"%s\": met %s, expected %s. Remedy: %s.",
                        file, line, field, met, expected, remedy));
    }
}
