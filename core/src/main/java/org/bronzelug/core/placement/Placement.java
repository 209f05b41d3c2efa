package org.bronzelug.core.placement;

/**
 * The runner chosen for a prompt. Immutable.
 *
 * @param runner the endpoint's name
 * @param incarnation the incarnation that the choice relies on; the runner rejects the request if
 *     its incarnation is another
 * @param estimatedCachedTokens tokens of the prompt that the runner probably has cached
 * @param queuedTokens tokens of other requests that are to be prefilled before this one
 * @param costNanos expected time to the first token
 */
public record Placement(
        String runner,
        String incarnation,
        int estimatedCachedTokens,
        double queuedTokens,
        double costNanos) {}
