package org.bronzelug.router.traffic;

import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bronzelug.core.limit.AdvertisedLimit;
import org.bronzelug.core.limit.EndpointBackoff;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.limit.RequestedBackoff;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * What the responses of one start of an endpoint advertise about the requests that it accepts: a
 * limit on the requests of all VMs, the rejections that it withstands, a backoff for this VM, and
 * whether the endpoint is about to leave.
 *
 * <p>Invariants: only responses that the endpoint itself sent change what is known; a malformed
 * value changes nothing. An endpoint that leaves does so until its next start. Confined to the
 * traffic thread.
 */
final class EndpointAdvertisements {
    private static final int UNAVAILABLE = 503;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String endpointId;
    private final EndpointBackoff backoff = new EndpointBackoff();
    private Optional<EndpointLimit> limit = Optional.empty();
    private OptionalDouble rejectionTolerance = OptionalDouble.empty();
    private boolean leaving;

    EndpointAdvertisements(String endpointId) {
        this.endpointId = endpointId;
    }

    /** Returns the limit on the endpoint's requests; empty if it has never advertised one. */
    Optional<EndpointLimit> limit() {
        return limit;
    }

    EndpointBackoff backoff() {
        return backoff;
    }

    boolean isLeaving() {
        return leaving;
    }

    void recordResponse(EndpointResponse response, long nowNanos) {
        recordLimit(response, nowNanos);
        recordRejectionTolerance(response);
        if (isFromEndpoint(response) && response.status() == UNAVAILABLE) {
            recordBackoff(response.backoff(), nowNanos);
        }
        if (isFromEndpoint(response) && response.leaving() && !leaving) {
            leaving = true;
            EventLog.info(LogEvent.ENDPOINT_LEAVING, "endpoint=" + endpointId);
        }
    }

    private static boolean isFromEndpoint(EndpointResponse response) {
        return response.genuine() || response.notExecuted();
    }

    /**
     * Records the limit in a response. A response without the endpoint's stamp may come from
     * another program and lack the limit header, so its missing limit does not end a known one.
     */
    private void recordLimit(EndpointResponse response, long nowNanos) {
        switch (response.limit()) {
            case AdvertisedLimit.Rate rate -> {
                if (isFromEndpoint(response)) {
                    applyLimit(rate, nowNanos, "answer");
                }
            }
            case AdvertisedLimit.None none -> {
                if (response.genuine()) {
                    applyLimit(none, nowNanos, "answer");
                }
            }
            case AdvertisedLimit.Malformed malformed ->
                    EventLog.warn(
                            LogEvent.ENDPOINT_LIMIT_MALFORMED,
                            "endpoint=" + endpointId + " limit=\"" + malformed.text() + "\"");
        }
    }

    /** Returns the rejections in a second that the endpoint withstands; empty if it states none. */
    OptionalDouble rejectionTolerance() {
        return rejectionTolerance;
    }

    private void recordRejectionTolerance(EndpointResponse response) {
        OptionalDouble before = rejectionTolerance;
        switch (response.rejectionTolerance()) {
            case AdvertisedLimit.Rate rate -> {
                if (isFromEndpoint(response)) {
                    rejectionTolerance = OptionalDouble.of(rate.requestsPerSecond());
                }
            }
            case AdvertisedLimit.None none -> {
                if (response.genuine()) {
                    rejectionTolerance = OptionalDouble.empty();
                }
            }
            case AdvertisedLimit.Malformed malformed ->
                    EventLog.warn(
                            LogEvent.REJECTION_TOLERANCE_MALFORMED,
                            "endpoint=" + endpointId + " value=\"" + malformed.text() + "\"");
        }
        if (!before.equals(rejectionTolerance)) {
            EventLog.info(
                    LogEvent.REJECTION_TOLERANCE_CHANGED,
                    ("endpoint=" + endpointId)
                            + (" perSecond=" + rejectionTolerance)
                            + (" before=" + before));
        }
    }

    /** Applies the limit that a peer has observed, and the peer's usage of it. */
    void recordPeerLimit(PeerLimitUsage peer, long nowNanos) {
        applyLimit(peer.limit(), peer.seenNanos(), "vm " + peer.vm());
        limit.ifPresent(
                known -> known.recordPeer(peer.vm(), peer.incarnation(), peer.usage(), nowNanos));
    }

    private void applyLimit(AdvertisedLimit advertised, long seenNanos, String source) {
        if (limit.isEmpty()) {
            if (advertised instanceof AdvertisedLimit.None) {
                return;
            }
            limit = Optional.of(new EndpointLimit(seenNanos));
        }
        AdvertisedLimit before = limit.get().limit();
        long nowNanos = System.nanoTime();
        if (limit.get().observe(advertised, seenNanos, nowNanos)) {
            EventLog.info(
                    LogEvent.ENDPOINT_LIMIT_CHANGED,
                    ("endpoint=" + endpointId)
                            + (" limit=" + advertised)
                            + (" before=" + before)
                            + (" from=\"" + source + "\"")
                            + (" ageMillis=" + (nowNanos - seenNanos) / NANOS_PER_MILLI));
        }
    }

    private void recordBackoff(RequestedBackoff requested, long nowNanos) {
        switch (requested) {
            case RequestedBackoff.Delay delay -> {
                if (backoff.request(delay.millis(), nowNanos)) {
                    long remainingMillis = backoff.remainingNanos(nowNanos) / NANOS_PER_MILLI;
                    EventLog.info(
                            LogEvent.ENDPOINT_BACKOFF_CHANGED,
                            ("endpoint=" + endpointId)
                                    + (" millis=" + remainingMillis)
                                    + (" until=" + Instant.now().plusMillis(remainingMillis)));
                }
            }
            case RequestedBackoff.None none -> {}
            case RequestedBackoff.Malformed malformed ->
                    EventLog.warn(
                            LogEvent.ENDPOINT_BACKOFF_MALFORMED,
                            "endpoint=" + endpointId + " delay=\"" + malformed.text() + "\"");
        }
    }
}
