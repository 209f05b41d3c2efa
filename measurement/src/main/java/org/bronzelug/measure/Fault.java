package org.bronzelug.measure;

/** What goes wrong in the middle of a run. */
enum Fault {
    NONE("none"),
    /** One runner crashes and comes back empty. */
    RUNNER_CRASH("runner-crash"),
    /** Half of the runners leave within 5 s. */
    PARTNER_LEAVES("partner-leaves"),
    /** All daemons restart at once and remember nothing. */
    RESTART_ALL("restart-all"),
    /** All daemons restart while the partner leaves. */
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
