package org.bronzelug.core.limit;

/** The result of reserving tokens of a team's rate for one request. Immutable. */
public sealed interface Admission {
    /** The tokens are reserved and must be settled. */
    record Granted() implements Admission {}

    /**
     * The tokens that are certainly left do not suffice.
     *
     * @param retryAfterNanos time until the amount is available; negative if it never will be,
     *     since it exceeds the burst
     * @param mayBeWithinRate whether the team may still be within its rate, since it is unknown
     *     what the previous holder of the rate had admitted; the amount is then set aside until it
     *     is granted or settled
     */
    record OverRate(long retryAfterNanos, boolean mayBeWithinRate) implements Admission {}

    /**
     * This VM does not hold the team's rate. While a claim moves between VMs, no VM may hold it.
     *
     * @param retryAfterNanos time after which the claim should have moved
     */
    record NotHeld(long retryAfterNanos) implements Admission {}
}
