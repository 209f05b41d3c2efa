package org.bronzelug.router.endpoint;

/** How a request got the connection that it was sent on. */
public enum ConnectionUse {
    /** Not sent: no connection was open yet. */
    NONE,
    /** A connection that was opened for this request. */
    NEW,
    /** A connection that was opened for this request through another VM. */
    NEW_RELAYED,
    /** A connection that was idle after an earlier request. */
    KEPT,
    /** A connection through another VM that was idle after an earlier request. */
    KEPT_RELAYED
}
