package org.bronzelug.measure;

/** A policy that chooses the runner of each request: the production policy or a baseline. */
enum Policy {
    /** The production policy. */
    BRONZELUG("bronzelug"),
    /** The production policy without the VMs' estimate of the runners' prefix caches. */
    NO_BELIEF("bronzelug-without-belief"),
    /** The production policy, but each caller uses a random VM instead of the assigned one. */
    NO_STEERING("bronzelug-without-steering"),
    /** The production policy, but with one FIFO queue for all teams. */
    NO_FAIRNESS("bronzelug-without-fairness"),
    ROUND_ROBIN("round-robin"),
    LEAST_LOAD("least-load"),
    /** Rendezvous hashing of the shared prefix; ignores load. */
    RENDEZVOUS("rendezvous"),
    /** Knows the current state of every cache and queue, which no real system can. */
    ORACLE("oracle");

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    boolean isProduction() {
        return this == BRONZELUG || this == NO_BELIEF || this == NO_STEERING || this == NO_FAIRNESS;
    }
}
