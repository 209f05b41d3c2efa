package org.bronzelug.router.traffic;

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
 */
public record RunnerChoice(
        EndpointState endpoint,
        String incarnation,
        PrefixChain chain,
        long weightsVersion,
        int missingTokens,
        boolean sharedCached) {}
