package org.bronzelug.standin;

/**
 * How fast a stand-in runner is, and how much it caches.
 *
 * @param prefillNanosPerToken time to prefill one missing token
 * @param decodeNanosPerToken time between two tokens of output
 * @param weightsLoadMillis time to load weights
 * @param cacheTokens tokens that its prefix cache holds
 */
public record RunnerTimes(
        long prefillNanosPerToken,
        long decodeNanosPerToken,
        long weightsLoadMillis,
        int cacheTokens) {
    /** Quick enough for demonstrations; a load takes 0.4 s as in the brief. */
    public static RunnerTimes defaults() {
        return new RunnerTimes(100_000, 2_000_000, 400, 200_000);
    }
}
