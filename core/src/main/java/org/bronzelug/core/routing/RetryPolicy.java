package org.bronzelug.core.routing;

/** How a request whose outcome is unknown may be retried. Immutable. */
public enum RetryPolicy {
    /** The request may run more than once. */
    IDEMPOTENT,
    /** The request may run at most once, so it must not be retried if it may have run. */
    AT_MOST_ONCE,
    /** A stream that another endpoint can resume after the last complete event. */
    RESUMABLE
}
