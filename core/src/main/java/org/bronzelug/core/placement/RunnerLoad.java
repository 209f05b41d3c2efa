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
 */
public record RunnerLoad(
        String name, String incarnation, double queuedPrefillTokens, int runningStreams) {}
