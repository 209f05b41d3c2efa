package org.bronzelug.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LazyArgs;

/**
 * Writes structured log events, one line each: number, name, text and details.
 *
 * <p>Invariants: no key is passed to this class; callers pass names and digests only. An event is
 * one line of bounded length, whatever names other writers have chosen. Stateless and thread-safe.
 */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Bounds what one name or cause that another writer has chosen adds to the log. */
    static final int MAXIMUM_DETAIL_CHARACTERS = 4_000;

    private EventLog() {}

    /** Returns details without control characters, cut off at the maximum length. */
    static String oneLine(String details) {
        String text = String.valueOf(details);
        String bounded =
                text.length() > MAXIMUM_DETAIL_CHARACTERS
                        ? text.substring(0, MAXIMUM_DETAIL_CHARACTERS) + "..."
                        : text;
        // A loop, since an event is logged for each request.
        for (int index = 0; index < bounded.length(); index++) {
            if (Character.isISOControl(bounded.charAt(index))) {
                return bounded.replaceAll("[\\p{Cntrl}\\x80-\\x9f]", " ");
            }
        }
        return bounded;
    }

    /** Logs an event of normal operation. */
    public static void info(LogEvent event, String details) {
        LOGGER.atInfo().log("%d %s: %s; %s", event.number(), event, event.text(), oneLine(details));
    }

    /** Logs an event that only helps to diagnose a problem. */
    public static void debug(LogEvent event, String details) {
        LOGGER.atFine().log(
                "%d %s: %s; %s",
                event.number(), event, event.text(), LazyArgs.lazy(() -> oneLine(details)));
    }

    /** Logs an event that may require an operator's action. */
    public static void warn(LogEvent event, String details) {
        LOGGER.atWarning().log(
                "%d %s: %s; %s", event.number(), event, event.text(), oneLine(details));
    }

    /** Logs an event that may require an operator's action, with the exception that caused it. */
    public static void warn(LogEvent event, String details, Throwable cause) {
        LOGGER.atWarning().withCause(cause).log(
                "%d %s: %s; %s", event.number(), event, event.text(), oneLine(details));
    }
}
