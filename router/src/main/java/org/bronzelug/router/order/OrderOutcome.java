package org.bronzelug.router.order;

/** What a runner says to an order. Immutable. */
public enum OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,
    /** The runner has these weights already. */
    HOLDS,
    /** Another order is under way, or one was taken meanwhile: ask and order again. */
    BUSY,
    /** Refused for good: another runner at the address, an unknown version, an older fence. */
    REFUSED
}
