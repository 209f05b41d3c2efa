package org.bronzelug.core.placement;

/**
 * What is known of a runner that may take a request.
 *
 * @param name of the endpoint
 * @param incarnation of the engine; an entry of another incarnation is worth nothing
 * @param queuedPrefillTokens tokens still to be prefilled: sent by this VM, or reported by the
 *     runner for others
 * @param runningStreams streams that it generates for
 */
public record RunnerLoad(
        String name, String incarnation, double queuedPrefillTokens, int runningStreams) {}
