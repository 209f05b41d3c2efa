package org.bronzelug.daemon.runner;

/**
 * What an endpoint reports of itself, with a lag. Immutable.
 *
 * @param incarnation changes with each start of the engine
 * @param weightsVersion that it has loaded; 0 for application runners
 * @param queuedPrefillTokens that wait there
 * @param running streams
 * @param loading whether it loads weights now
 */
public record EndpointReport(
        String incarnation,
        long weightsVersion,
        int queuedPrefillTokens,
        int running,
        boolean loading) {

    /** Before the first report. */
    public static EndpointReport unknown() {
        return new EndpointReport("", 0, 0, 0, false);
    }
}
