package org.bronzelug.core.action;

/** The ledger's decision on one arrival of a call. Immutable. */
public sealed interface ActionDecision {
    /** Run the call now and report its outcome to {@link ActionLedger#finish}. */
    record Run() implements ActionDecision {}

    /** Another arrival of the same call is running: wait for its outcome. */
    record Await() implements ActionDecision {}

    /**
     * The call ran before: replay its response.
     *
     * @param response the response of the endpoint to the call
     */
    record Replay(byte[] response) implements ActionDecision {}

    /** The call may have run: report it as in doubt and do not run it. */
    record StayInDoubt(String reason) implements ActionDecision {}

    /** The call certainly did not run under this id and will not run: the caller needs a new id. */
    record RejectNotRun(String reason) implements ActionDecision {}

    /**
     * The id was first used with another team or body: reject the call without revealing anything
     * about the first one.
     */
    record RejectMismatch() implements ActionDecision {}

    /** This VM does not own the id: forward the call to the owner. */
    record ForwardToOwner() implements ActionDecision {}
}
