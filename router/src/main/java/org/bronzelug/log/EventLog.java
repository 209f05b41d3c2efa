package org.bronzelug.log;

import com.google.common.flogger.FluentLogger;

/**
 * Writes structured log events, one line each: number, name, text and details.
 *
 * <p>Invariant: no key is passed to this class; callers pass names and digests only. Stateless and
 * thread-safe.
 */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private EventLog() {}

    /** Logs an event of normal operation. */
    public static void info(LogEvent event, String details) {
        LOGGER.atInfo().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event that only helps to diagnose a problem. */
    public static void debug(LogEvent event, String details) {
        LOGGER.atFine().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event that may require an operator's action. */
    public static void warn(LogEvent event, String details) {
        LOGGER.atWarning().log("%d %s: %s; %s", event.number(), event, event.text(), details);
    }

    /** Logs an event that may require an operator's action, with the exception that caused it. */
    public static void warn(LogEvent event, String details, Throwable cause) {
        LOGGER.atWarning().withCause(cause).log(
                "%d %s: %s; %s", event.number(), event, event.text(), details);
    }
}
