package org.bronzelug.router.exchange;

import java.util.Optional;

/**
 * Why no endpoint accepts a request. Immutable.
 *
 * @param reason the reason, for the response and the logs
 * @param counter name of the metric that counts such requests; empty if none does
 * @param retryAfterMillis the time until an endpoint may accept the request
 */
record Unavailability(String reason, Optional<String> counter, long retryAfterMillis) {
    /** An endpoint that has failed is replaced after about two seconds. */
    private static final long VERSION_RETRY_MILLIS = 2_000;

    static Unavailability atLimits(long retryAfterMillis) {
        return new Unavailability(
                "endpoints are at the limits that they named",
                Optional.of("requests_past_endpoint_limits"),
                retryAfterMillis);
    }

    static Unavailability fragile(long retryAfterMillis) {
        return new Unavailability(
                "endpoints may be full and fail if they reject more requests",
                Optional.of("requests_past_rejection_tolerance"),
                retryAfterMillis);
    }

    static Unavailability inBackoff(long retryAfterMillis) {
        return new Unavailability(
                "endpoints have asked for a backoff",
                Optional.of("requests_past_endpoint_backoffs"),
                retryAfterMillis);
    }

    static Unavailability unreachable(long retryAfterMillis) {
        return new Unavailability(
                "no VM can connect to the endpoints",
                Optional.of("requests_without_reachable_endpoint"),
                retryAfterMillis);
    }

    /** An endpoint of the version may start again, as a replacement of one that has failed. */
    static Unavailability versionGone(String softwareVersion) {
        return new Unavailability(
                "no endpoint of the stream's software version " + softwareVersion + " is left",
                Optional.of("streams_without_their_version"),
                VERSION_RETRY_MILLIS);
    }

    static Unavailability noEndpoint(long retryAfterMillis) {
        return new Unavailability(
                "no endpoint takes the request", Optional.empty(), retryAfterMillis);
    }
}
