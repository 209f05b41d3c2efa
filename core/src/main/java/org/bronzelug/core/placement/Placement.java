package org.bronzelug.core.placement;

import java.util.Optional;

/**
 * A choice of runner.
 *
 * @param runner the endpoint's name
 * @param incarnation that the choice relies upon; the runner refuses the request if it has another
 * @param believedCachedTokens tokens expected in its cache
 * @param fetchedTokens that it lacks and can fetch
 * @param source the runner to fetch them from; empty where only a store has them
 * @param queuedTokens that wait to be prefilled before this request
 * @param costNanos expected time to the first token
 */
public record Placement(
        String runner,
        String incarnation,
        int believedCachedTokens,
        int fetchedTokens,
        Optional<String> source,
        double queuedTokens,
        double costNanos) {
    /** The same placement, which fetches from a runner, or from a store where none is named. */
    Placement from(Optional<String> newSource) {
        return new Placement(
                runner,
                incarnation,
                believedCachedTokens,
                fetchedTokens,
                newSource,
                queuedTokens,
                costNanos);
    }
}
