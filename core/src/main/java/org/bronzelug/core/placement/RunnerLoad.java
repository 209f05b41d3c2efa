package org.bronzelug.core.placement;

/**
 * The estimated load of a runner that can serve a request. Immutable.
 *
 * @param name the endpoint's name
 * @param incarnation the engine's incarnation; cache entries recorded for another incarnation are
 *     ignored
 * @param queuedPrefillTokens tokens still to be prefilled, of requests that this VM sent or that
 *     the runner reported
 * @param runningStreams streams that the runner is generating
 * @param speed the runner's speed relative to its pool; 1 if it is not measured
 */
public record RunnerLoad(
        String name,
        String incarnation,
        double queuedPrefillTokens,
        int runningStreams,
        double speed) {
    /** The load of a runner whose speed is not measured. */
    public RunnerLoad(
            String name, String incarnation, double queuedPrefillTokens, int runningStreams) {
        this(name, incarnation, queuedPrefillTokens, runningStreams, 1);
    }
}
