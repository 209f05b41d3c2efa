package org.bronzelug.standin;

/**
 * The speed and the cache size of a simulated model runner. Immutable.
 *
 * @param prefillNanosPerToken time to prefill one missing token
 * @param decodeNanosPerToken time between two tokens of output
 * @param weightsLoadMillis time to load weights
 * @param cacheTokens capacity of the prefix cache, in tokens
 */
public record RunnerTimes(
        long prefillNanosPerToken,
        long decodeNanosPerToken,
        long weightsLoadMillis,
        int cacheTokens) {
    /** Returns values fast enough for demonstrations; a load takes 0.4 s, as on the platform. */
    public static RunnerTimes defaults() {
        return new RunnerTimes(100_000, 2_000_000, 400, 200_000);
    }
}
