package org.bronzelug.router.control;

import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;

/**
 * Whether calls for one kind of objects reach the platform, and how long to wait before the next
 * one while they don't. Confined to the control thread.
 *
 * <p>While the platform fails, attempts are spaced by a random backoff that doubles up to about a
 * second, so that the VMs of a fleet that lost the platform at the same time do not all reconnect
 * at the same time.
 */
final class PlatformContact {
    private final String kind;
    private final KindWatch.Listener listener;
    private final RandomBackoff backoff;
    private boolean reachable = true;
    private long lostSinceNanos;

    PlatformContact(String kind, KindWatch.Listener listener, RandomBackoff backoff) {
        this.kind = kind;
        this.listener = listener;
        this.backoff = backoff;
    }

    boolean isReachable() {
        return reachable;
    }

    /** Returns since when the platform was not reachable, now or the last time that it was not. */
    long lostSinceNanos() {
        return lostSinceNanos;
    }

    /** Takes the platform for reachable until a call fails. */
    void reset() {
        reachable = true;
    }

    /** Records that a call has succeeded. */
    void recordSuccess() {
        backoff.reset();
        if (!reachable) {
            reachable = true;
            listener.onReachable(kind, true);
            EventLog.info(LogEvent.PLATFORM_REACHED, "kind=" + kind);
        }
    }

    /**
     * Records that a call has failed.
     *
     * @param revision the revision up to which this VM knows the objects, for the log
     * @param unansweredMillis how long the call has waited, for the log
     * @param failedSinceNanos since when the platform may not have been reachable
     * @return the delay before the next call, in milliseconds
     */
    long recordFailure(
            Throwable failure, long revision, long unansweredMillis, long failedSinceNanos) {
        if (reachable) {
            reachable = false;
            lostSinceNanos = failedSinceNanos;
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            listener.onReachable(kind, false);
            EventLog.warn(
                    LogEvent.PLATFORM_LOST,
                    "kind="
                            + kind
                            + (" revision=" + revision)
                            + (" unansweredMillis=" + unansweredMillis)
                            + (" cause=\"" + cause.getMessage() + "\""));
        }
        return backoff.nextMillis();
    }
}
