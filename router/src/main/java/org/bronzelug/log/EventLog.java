package org.bronzelug.log;

import com.google.common.flogger.FluentLogger;

/**
 * Writes one line for each event: number, name, text, details.
 *
 * <p>Invariant: no key reaches this class; callers pass names and digests. Stateless and
 * thread-safe.
 */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private EventLog() {}

    /** Logs an event of normal work. */
    public static void info(LogEvent event, String details) {
        LOGGER.atInfo().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event that matters only while something is looked for. */
    public static void debug(LogEvent event, String details) {
        LOGGER.atFine().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event that an operator may have to act upon. */
    public static void warn(LogEvent event, String details) {
        LOGGER.atWarning().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event with its cause. */
    public static void warn(LogEvent event, String details, Throwable cause) {
        LOGGER.atWarning().withCause(cause).log(
                "%d %s: %s; %s", event.number(), event, event.text(), details);
    }
}
