package org.bronzelug.measure;

/**
 * The results of one simulation run. Immutable.
 *
 * @param hitRate the fraction of prompt tokens that were cached
 * @param firstTokenP50Millis the median time to first token, measured at the caller
 * @param firstTokenP99Millis the 99th percentile of the time to first token, measured at the caller
 * @param recomputedTokens the prompt tokens prefilled again after some runner had prefilled them
 * @param worstTeamP99Millis the highest p99 time to first token of any team within its rate
 * @param medianTeamP99Millis the median over these teams of the p99 time to first token
 * @param rejectedWithinRate the number of rejected requests of teams within their rate
 * @param requests the number of served requests
 * @param hitRateBeforeRestart the hit rate in the 5 s before the middle of the run, when faults are
 *     injected
 * @param hitRateAfterRestart the hit rate in the 1 s after the middle of the run
 */
record RunResult(
        double hitRate,
        double firstTokenP50Millis,
        double firstTokenP99Millis,
        double recomputedTokens,
        double worstTeamP99Millis,
        double medianTeamP99Millis,
        double rejectedWithinRate,
        double requests,
        double hitRateBeforeRestart,
        double hitRateAfterRestart) {}
