package org.bronzelug.core.action;

/** How one run of a non-idempotent call ended. Immutable. */
public sealed interface ActionOutcome {
    /**
     * The endpoint ran the call and responded.
     *
     * @param response the response of the endpoint, kept to be replayed to retries
     */
    record Ran(byte[] response) implements ActionOutcome {}

    /**
     * The call certainly had no effect: no byte of it left this VM, or the endpoint definitively
     * rejected it. It may be run again.
     */
    record NotRun(String reason) implements ActionOutcome {}

    /** The call may have run; it is never run again. */
    record InDoubt(String reason) implements ActionOutcome {}
}
