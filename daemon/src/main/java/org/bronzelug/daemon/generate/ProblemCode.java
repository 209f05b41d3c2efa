package org.bronzelug.daemon.generate;

/** The codes of the problems reported to callers and operators (docs/SCHEMA.md "Problems"). */
public enum ProblemCode {
    /** The key is unknown or withdrawn. */
    KEY_REFUSED,
    /** The team exceeds its rate. */
    OVER_RATE,
    /** The request alone exceeds the team's burst. */
    EXCEEDS_BURST,
    /** The VM that holds the team's rate is being replaced. */
    RATE_UNAVAILABLE,
    /** The VM's configuration is older than the staleness bound. */
    NOT_FRESH,
    /** The VM is shutting down. */
    STOPPING,
    /** No pool serves the model, or the pool does not exist. */
    UNKNOWN_POOL,
    /** The pool has no usable endpoint. */
    NO_ENDPOINT,
    /** Too many requests are queued for the pool. */
    OVERLOADED,
    /** The first chunk did not arrive before the deadline. */
    DEADLINE,
    /** All attempts at the pool's endpoints failed. */
    ENDPOINTS_FAILED,
    /** The caller's request is malformed. */
    BAD_REQUEST,
    /** The caller cancelled the stream. */
    CANCELLED,
    /** The action id was used before with another team or body. */
    ACTION_MISMATCH,
    /** The action may have run; it is not retried. */
    ACTION_IN_DOUBT,
    /** The action did not run and will not run under this id. */
    ACTION_NOT_RUN,
    /** The operators' secret is wrong or missing. */
    OPERATOR_REFUSED,
    /** Another change was committed first. */
    CONFIGURATION_CONFLICT,
    /** The platform did not respond; the change may be committed. */
    CHANGE_IN_DOUBT,
    /** The change is committed, but a majority of the VMs has not confirmed it. */
    CHANGE_NOT_CONFIRMED,
    /** The object does not exist. */
    NOT_FOUND
}
