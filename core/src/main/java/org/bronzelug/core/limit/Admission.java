package org.bronzelug.core.limit;

/** The result of reserving tokens of a team's rate for one request. Immutable. */
public sealed interface Admission {
    /** The tokens are reserved and must be settled. */
    record Granted() implements Admission {}

    /**
     * The team has exceeded its rate.
     *
     * @param retryAfterNanos time until the amount is available; negative if it never will be,
     *     since it exceeds the burst
     */
    record OverRate(long retryAfterNanos) implements Admission {}

    /**
     * This VM does not hold the team's rate. While a claim moves between VMs, no VM may hold it.
     *
     * @param retryAfterNanos time after which the claim should have moved
     */
    record NotHeld(long retryAfterNanos) implements Admission {}
}
