package org.bronzelug.daemon.generate;

/** The codes of problems that callers and operators meet (docs/SCHEMA.md "Problems"). */
public enum ProblemCode {
    /** The key is unknown or withdrawn. */
    KEY_REFUSED,
    /** The team is beyond its rate. */
    OVER_RATE,
    /** The request alone exceeds the team's burst. */
    EXCEEDS_BURST,
    /** The VM that holds the team's rate is being replaced. */
    RATE_UNAVAILABLE,
    /** This VM has had no word of the configuration for too long. */
    NOT_FRESH,
    /** This VM is stopping. */
    STOPPING,
    /** No pool serves the model, or no such pool. */
    UNKNOWN_POOL,
    /** The pool has no usable endpoint. */
    NO_ENDPOINT,
    /** Too many requests wait. */
    OVERLOADED,
    /** The first chunk did not come before the deadline. */
    DEADLINE,
    /** All attempts failed. */
    ENDPOINTS_FAILED,
    /** The caller's request is malformed. */
    BAD_REQUEST,
    /** The caller cancelled the stream. */
    CANCELLED,
    /** The action id came before with another team or body. */
    ACTION_MISMATCH,
    /** The action may have run; it is not run again. */
    ACTION_IN_DOUBT,
    /** The action did not run, and will not under this id. */
    ACTION_NOT_RUN,
    /** The operators' secret is wrong or missing. */
    OPERATOR_REFUSED,
    /** Another change came first. */
    CONFIGURATION_CONFLICT,
    /** The platform did not answer; the change may be committed. */
    CHANGE_IN_DOUBT,
    /** The change is committed, but a majority of the VMs has not confirmed it. */
    CHANGE_NOT_CONFIRMED,
    /** No such object. */
    NOT_FOUND
}
