package org.bronzelug.measure;

/** A fault injected in the middle of a simulated run. */
enum Fault {
    NONE("none"),
    /** One runner crashes and restarts with an empty cache. */
    RUNNER_CRASH("runner-crash"),
    /** Half of the runners, all those of one partner, leave within 5 s. */
    PARTNER_LEAVES("partner-leaves"),
    /** All daemons restart at once and lose their in-memory state. */
    RESTART_ALL("restart-all"),
    /** {@link #RESTART_ALL} and {@link #PARTNER_LEAVES} at the same time. */
    TWO_TOGETHER("restart-and-partner");

    private final String label;

    Fault(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    boolean restartsAll() {
        return this == RESTART_ALL || this == TWO_TOGETHER;
    }

    boolean partnerLeaves() {
        return this == PARTNER_LEAVES || this == TWO_TOGETHER;
    }
}
