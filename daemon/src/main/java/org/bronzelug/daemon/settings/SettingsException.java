package org.bronzelug.daemon.settings;

/**
 * Thrown when a settings file is invalid. The message names the line and the field, the value
 * found, the value expected, and the remedy.
 */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(
            String file, int line, String field, String actual, String expected, String remedy) {
        super(
                String.format(
                        "%s:%d: field \"%s\": met %s, expected %s. Remedy: %s.",
                        file, line, field, actual, expected, remedy));
    }
}
