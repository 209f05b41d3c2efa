package org.bronzelug.router.traffic;

import org.bronzelug.core.placement.Placement;
import org.bronzelug.core.placement.PrefixChain;

/**
 * A runner chosen for a prompt.
 *
 * @param endpoint the runner
 * @param incarnation that its cache belongs to
 * @param chain of the prompt
 * @param weightsVersion that it is believed to have; 0: not known
 * @param missingTokens expected to be read
 * @param sharedCached whether the shared part is believed to be cached there
 * @param queuedTokens that wait there to be read
 * @param placement what it was reckoned to cost
 * @param considered runners that could take the prompt
 */
public record RunnerChoice(
        EndpointState endpoint,
        String incarnation,
        PrefixChain chain,
        long weightsVersion,
        int missingTokens,
        boolean sharedCached,
        double queuedTokens,
        Placement placement,
        int considered) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** For the log: what the choice rests on. */
    public String describe() {
        return (" weights=" + weightsVersion)
                + (" missing=" + missingTokens)
                + (" costMillis=" + Math.round(placement.costNanos() / NANOS_PER_MILLI))
                + (" queued=" + Math.round(queuedTokens))
                + (" considered=" + considered);
    }
}
