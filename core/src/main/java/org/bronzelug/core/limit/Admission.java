package org.bronzelug.core.limit;

/** The answer of a team's rate to one request. Immutable. */
public sealed interface Admission {
    /** The tokens are reserved and must be settled. */
    record Granted() implements Admission {}

    /**
     * The team is beyond its rate.
     *
     * @param retryAfterNanos when the amount will be there; negative: never, it exceeds the burst
     */
    record OverRate(long retryAfterNanos) implements Admission {}

    /**
     * This VM does not hold the team's rate now; nobody may, while a claim moves.
     *
     * @param retryAfterNanos when the claim should have moved
     */
    record NotHeld(long retryAfterNanos) implements Admission {}
}
