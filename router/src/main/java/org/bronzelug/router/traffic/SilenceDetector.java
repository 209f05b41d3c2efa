package org.bronzelug.router.traffic;

import java.util.OptionalLong;
import org.bronzelug.core.placement.LoadEstimate;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.router.endpoint.EndpointConnections;

/**
 * Detects that an endpoint sends nothing while requests of this VM wait there: it has lost its
 * power, it pauses, or the network path to it is lost. Its connections stay open, and the platform
 * lists its entry for seconds more.
 *
 * <p>All methods assume that requests are in flight. Confined to the traffic thread.
 */
final class SilenceDetector {
    /** Several times the latency of a request without a prompt or with a short prompt. */
    private static final long MINIMUM_SILENCE_NANOS = 900_000_000L;

    /** A pause of a sound endpoint; callers abandon a stream after a gap of two seconds. */
    private static final long MAXIMUM_PAUSE_NANOS = 1_700_000_000L;

    /** Several times the response time of a request without a prompt. */
    private static final long PLAIN_PATH_CHECK_NANOS = 250_000_000L;

    /** Number of estimated prefill times of this VM's prompts that a runner may stay silent. */
    private static final double SILENCE_PREFILL_MULTIPLE = 2;

    private final EndpointConnections connections;
    private final LoadEstimate load;
    private final PrefillRate prefillRate;
    private long lastActivityNanos;

    SilenceDetector(EndpointConnections connections, LoadEstimate load, PrefillRate prefillRate) {
        this.connections = connections;
        this.load = load;
        this.prefillRate = prefillRate;
    }

    /** Records that bytes of a response have arrived, or that the first request was sent. */
    void recordActivity(long nowNanos) {
        lastActivityNanos = nowNanos;
    }

    /** Returns whether no bytes have arrived for too long. */
    boolean isSilent(long nowNanos) {
        return nowNanos - lastActivityNanos > silenceLimitNanos();
    }

    /**
     * Returns whether the requests wait in vain. An endpoint that still accepts connections may
     * only pause, and works on when the pause is over; a request that is sent elsewhere meanwhile
     * would run twice.
     */
    boolean isStalled(long nowNanos) {
        return isSilent(nowNanos)
                && (!connections.isConnectedSince(lastActivityNanos)
                        || nowNanos - lastActivityNanos > MAXIMUM_PAUSE_NANOS);
    }

    /**
     * Returns how long the endpoint may send nothing before it counts as silent. The limit grows
     * with the queued prompts, since an engine sends nothing while it prefills a single long
     * prompt.
     */
    private double silenceLimitNanos() {
        double prefillNanos = load.ownTokens() * prefillRate.nanosPerToken();
        return Math.max(MINIMUM_SILENCE_NANOS, SILENCE_PREFILL_MULTIPLE * prefillNanos);
    }

    /**
     * Checks this VM's path to the endpoint if the requests have waited for longer than usual, or
     * since this VM lost a path to another endpoint.
     *
     * @param engine whether the endpoint is an engine, which prefills before it sends anything
     * @param lastSilentLossNanos when this VM last lost a path to silence; empty if never
     */
    void checkPathIfSilent(boolean engine, OptionalLong lastSilentLossNanos, long nowNanos) {
        boolean othersLost =
                lastSilentLossNanos.isPresent()
                        && lastSilentLossNanos.getAsLong() - lastActivityNanos > 0;
        double limitNanos = engine ? silenceLimitNanos() / 2 : PLAIN_PATH_CHECK_NANOS;
        if (othersLost || nowNanos - lastActivityNanos > limitNanos) {
            connections.check(nowNanos);
        }
    }
}
