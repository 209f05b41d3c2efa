package org.bronzelug.core.placement;

/**
 * A choice of runner.
 *
 * @param runner the endpoint's name
 * @param incarnation that the choice relies upon; the runner refuses the request if it has another
 * @param estimatedCachedTokens tokens expected in its cache
 * @param queuedTokens that wait to be prefilled before this request
 * @param costNanos expected time to the first token
 */
public record Placement(
        String runner,
        String incarnation,
        int estimatedCachedTokens,
        double queuedTokens,
        double costNanos) {}
