package org.bronzelug.measure;

/** A way to place requests. */
enum Policy {
    /** The shipped decisions. */
    BRONZELUG("bronzelug"),
    /** Shipped, without what a VM remembers of the runners' caches. */
    NO_BELIEF("bronzelug-without-belief"),
    /** Shipped, but callers use any VM instead of the one they are steered to. */
    NO_STEERING("bronzelug-without-steering"),
    /** Shipped, but first come, first served between teams. */
    NO_FAIRNESS("bronzelug-without-fairness"),
    ROUND_ROBIN("round-robin"),
    LEAST_LOAD("least-load"),
    /** By the hash of the shared prefix alone. */
    RENDEZVOUS("rendezvous"),
    /** Sees every cache and queue at once; no system can. */
    ORACLE("oracle");

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    boolean isShipped() {
        return this == BRONZELUG || this == NO_BELIEF || this == NO_STEERING || this == NO_FAIRNESS;
    }
}
