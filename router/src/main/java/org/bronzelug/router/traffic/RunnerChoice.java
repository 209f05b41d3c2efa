package org.bronzelug.router.traffic;

import java.util.OptionalLong;
import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PrefixChain;

/**
 * A runner chosen for a prompt. Immutable, except for the state of the endpoint.
 *
 * @param endpoint the runner
 * @param incarnation the start and version of weights that the runner's cache belongs to
 * @param chain the prefixes of the prompt
 * @param weightsVersion the version of the weights that the runner is estimated to have; 0 if
 *     unknown
 * @param replacedNanos for how long that version has been replaced by a newer one; empty if it is
 *     the newest known one
 * @param missingTokens estimated number of the prompt's tokens that the runner must prefill
 * @param sharedCached whether the prompt's shared prefix is estimated to be in the runner's cache
 * @param queuedTokens estimated number of tokens that wait at the runner to be prefilled
 * @param placement the placement decision with its estimated cost
 * @param considered number of runners that could have been chosen
 */
public record RunnerChoice(
        EndpointState endpoint,
        String incarnation,
        PrefixChain chain,
        long weightsVersion,
        OptionalLong replacedNanos,
        int missingTokens,
        boolean sharedCached,
        double queuedTokens,
        Placement placement,
        int considered) {
    private static final double NANOS_PER_MILLI = 1e6;

    private String replacedMillis() {
        return replacedNanos.isPresent()
                ? String.valueOf(Math.round(replacedNanos.getAsLong() / NANOS_PER_MILLI))
                : "-";
    }

    /** Returns the reasons for the choice as fields of a log line. */
    public String describe() {
        return (" weights=" + weightsVersion)
                + (" replacedMillis=" + replacedMillis())
                + (" missing=" + missingTokens)
                + (" costMillis=" + Math.round(placement.costNanos() / NANOS_PER_MILLI))
                + (" queued=" + Math.round(queuedTokens))
                + (" considered=" + considered);
    }
}
