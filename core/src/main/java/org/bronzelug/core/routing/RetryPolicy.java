package org.bronzelug.core.routing;

/** What may be done with a request whose outcome is unknown. Immutable. */
public enum RetryPolicy {
    /** Idempotent: may run more than once. */
    IDEMPOTENT,
    /** May run at most once; nothing of it may be repeated. */
    AT_MOST_ONCE,
    /** A stream that may go on at another endpoint after its last whole event. */
    RESUMABLE
}
