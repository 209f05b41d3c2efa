package org.bronzelug.daemon.runner;

/**
 * The state that an endpoint reports of itself. It lags behind the actual state. Immutable.
 *
 * @param incarnation an id that changes with each start of the engine
 * @param weightsVersion the version of the loaded weights; 0 for application runners
 * @param queuedPrefillTokens prompt tokens that wait for their prefill
 * @param running the number of streams in progress
 * @param loading whether the endpoint is loading weights
 */
public record EndpointReport(
        String incarnation,
        long weightsVersion,
        int queuedPrefillTokens,
        int running,
        boolean loading) {

    /** Returns the state before the first report. */
    public static EndpointReport unknown() {
        return new EndpointReport("", 0, 0, 0, false);
    }
}
