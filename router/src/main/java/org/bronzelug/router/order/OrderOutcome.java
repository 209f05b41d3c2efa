package org.bronzelug.router.order;

/** A runner's response to an order. Immutable. */
public enum OrderOutcome {
    /** The runner carries out the order. */
    ACCEPTED,
    /** The runner has these weights already. */
    HOLDS,
    /**
     * The runner carries out another order, or has accepted one since its last report. This VM must
     * get a new report and send the order again.
     */
    BUSY,
    /**
     * Rejected permanently: another runner at the address, an unknown version, or an older fencing
     * token.
     */
    REFUSED
}
