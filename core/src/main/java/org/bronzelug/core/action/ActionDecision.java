package org.bronzelug.core.action;

/** What the ledger says of one arriving call. Immutable. */
public sealed interface ActionDecision {
    /** Run it now; the ledger waits for {@link ActionLedger#finish}. */
    record Run() implements ActionDecision {}

    /** Another arrival of the same call is running: wait for its outcome. */
    record Await() implements ActionDecision {}

    /** It ran before: answer as then. */
    record Repeat(byte[] answer) implements ActionDecision {}

    /** It may have run: say so, do not run it. */
    record StayInDoubt(String reason) implements ActionDecision {}

    /** It certainly did not run under this id, and will not: the caller takes a new id. */
    record RejectNotRun(String reason) implements ActionDecision {}

    /** The same id came with another team or body: refused, with no word of the first call. */
    record RejectMismatch() implements ActionDecision {}

    /** This VM is not the call's home. */
    record ForwardToOwner() implements ActionDecision {}
}
