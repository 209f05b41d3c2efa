package org.bronzelug.core.action;

/** How one run of a non-idempotent call ended. Immutable. */
public sealed interface ActionOutcome {
    /**
     * The endpoint ran the call and answered.
     *
     * @param answer the endpoint's answer, kept for retries
     */
    record Ran(byte[] answer) implements ActionOutcome {}

    /**
     * The call certainly had no effect: no byte of it left this VM, or the endpoint refused it
     * definitively. It may be run again.
     */
    record NotRun(String reason) implements ActionOutcome {}

    /** The call may have run; it is never run again. */
    record InDoubt(String reason) implements ActionOutcome {}
}
