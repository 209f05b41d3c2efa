package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bronzelug.core.poison.PartAdmission;
import org.bronzelug.core.poison.PartKey;
import org.bronzelug.core.poison.RequestKeys;
import org.bronzelug.core.poison.RequestQuarantine;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Decides whether one request may be sent, since the shared parts of its prompt or the request
 * itself may crash endpoints. Confined to the traffic thread.
 */
final class PartGate {
    /** Bounds the work for one request; the parts that follow are not watched. */
    private static final int MAXIMUM_PARTS = 64;

    /** Maximum retry delay: a wrong quarantine may end at any time. */
    private static final long MAXIMUM_RETRY_MILLIS = 30_000;

    /** Ends under a request from which it is verified whether its last endpoint has crashed. */
    private static final int VERIFIED_ENDS = 1;

    private final TrafficState state;
    private final RequestKeys keys;

    /**
     * @param fingerprint returns a hash of what all attempts of the request have in common; called
     *     at most once, while the request can be read
     */
    PartGate(TrafficState state, AdmittedRequest admitted, Supplier<String> fingerprint) {
        this.state = state;
        String pool = admitted.pool().map(EndpointPool::name).orElse("");
        List<PartKey> parts =
                admitted.pool()
                        .flatMap(any -> admitted.head().prompt().map(spec -> parts(pool, spec)))
                        .orElse(List.of());
        this.keys = new RequestKeys(parts, () -> PartKey.ofRequest(pool, fingerprint.get()));
    }

    /**
     * Returns the gate of a request.
     *
     * @param callerHost the host that the request came from
     */
    static PartGate of(
            TrafficState state,
            AdmittedRequest admitted,
            FullHttpRequest request,
            String callerHost) {
        return new PartGate(
                state, admitted, () -> RequestFingerprint.of(admitted, request, callerHost));
    }

    private static List<PartKey> parts(String pool, PromptSpec prompt) {
        return prompt.sharedParts().stream()
                .limit(MAXIMUM_PARTS)
                .map(part -> PartKey.of(pool, part.id()))
                .distinct()
                .toList();
    }

    /** Returns whether the request may be sent to an endpoint now. */
    PartAdmission admit(long nowNanos) {
        return state.poison().admit(keys, nowNanos);
    }

    /** Returns whether the request may not be sent any more, although it was admitted. */
    boolean isQuarantined(long nowNanos) {
        return state.poison().isQuarantined(keys, nowNanos);
    }

    /** Returns whether the request may crash its endpoint, as far as crashes have shown. */
    boolean isSuspected() {
        return state.poison().isAnySuspect(keys.parts());
    }

    /** Returns the number of endpoints that have ended under the request, as far as is known. */
    int ends() {
        return state.poison().ends(keys);
    }

    /** Returns whether the request is sent no more if one more endpoint ends under it. */
    boolean mayBeLastSend() {
        return ends() >= RequestQuarantine.MAXIMUM_ENDS - 1;
    }

    /** Returns whether the request may have crashed an endpoint that it has left. */
    boolean mayHaveCrashed(EndpointState endpoint, long nowNanos) {
        String version = endpoint.entry().softwareVersion();
        return ends() >= VERIFIED_ENDS
                || !state.poison().areHarmless(keys.parts(), version, nowNanos);
    }

    /** Records that the request is sent to an endpoint. */
    WatchedAttempt begin(EndpointState endpoint, long nowNanos) {
        return state.poison().begin(endpoint.run(), keys, nowNanos);
    }

    /** Records that an endpoint has responded to the request completely. */
    void recordComplete(EndpointState endpoint) {
        state.poison().recordComplete(keys, endpoint.entry().softwareVersion());
    }

    /** Records that an attempt has begun or ended, which other VMs may wait for. */
    void recordChange() {
        if (!keys.parts().isEmpty()) {
            state.poison().recordChange(System.nanoTime());
        }
    }

    static long retryMillis(PartAdmission.Rejected rejected) {
        long millis = TimeUnit.NANOSECONDS.toMillis(rejected.retryAfterNanos());
        return isRequest(rejected) ? millis : Math.min(MAXIMUM_RETRY_MILLIS, millis);
    }

    /** Returns why a request is rejected. */
    static String reason(PartAdmission.Rejected rejected) {
        return isRequest(rejected) ? EndpointCheck.ENDS : EndpointCheck.QUARANTINED;
    }

    private static boolean isRequest(PartAdmission.Rejected rejected) {
        return rejected.parts().stream().anyMatch(PartKey::isRequest);
    }
}
