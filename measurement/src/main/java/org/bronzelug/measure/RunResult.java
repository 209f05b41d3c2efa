package org.bronzelug.measure;

/**
 * The brief's measures of one run.
 *
 * @param hitRate prompt tokens found cached, of all
 * @param firstTokenP50Millis as the caller sees it
 * @param firstTokenP99Millis as the caller sees it
 * @param recomputedTokens prefilled although prefilled before by some runner
 * @param worstTeamP99Millis of the worst-served team that keeps its rate
 * @param medianTeamP99Millis of the median team
 * @param refusedWithinRate wrongful refusals
 * @param requests served
 * @param hitRateBefore in the second before a restart of all daemons
 * @param hitRateAfter in the second after it
 */
record RunResult(
        double hitRate,
        double firstTokenP50Millis,
        double firstTokenP99Millis,
        double recomputedTokens,
        double worstTeamP99Millis,
        double medianTeamP99Millis,
        double refusedWithinRate,
        double requests,
        double hitRateBefore,
        double hitRateAfter) {}
