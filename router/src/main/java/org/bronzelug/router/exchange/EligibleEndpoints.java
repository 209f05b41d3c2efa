package org.bronzelug.router.exchange;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * The endpoints at which a request may run: those of its pool that accept requests and, for a begun
 * stream, have the software version that it is bound to. Confined to the traffic thread.
 */
final class EligibleEndpoints {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final StreamVersion streamVersion;

    EligibleEndpoints(TrafficState state, AdmittedRequest admitted, StreamVersion streamVersion) {
        this.state = state;
        this.admitted = admitted;
        this.streamVersion = streamVersion;
    }

    /**
     * Returns whether the stream is bound to a software version that no endpoint has which accepts
     * requests, or that a rollout has withdrawn.
     */
    boolean isVersionGone() {
        return streamVersion.version().isPresent()
                && admitted.pool().isPresent()
                && (accepting().isEmpty() || isVersionWithdrawn());
    }

    /** Returns whether a rollout has withdrawn the version that the stream is bound to. */
    boolean isVersionWithdrawn() {
        String pool = admitted.pool().orElseThrow().name();
        return streamVersion
                .version()
                .filter(version -> state.rollouts().isWithdrawn(pool, version))
                .isPresent();
    }

    /** Returns the endpoints that accept new requests. */
    List<EndpointState> accepting() {
        return state.endpoints().acceptingRequests(admitted.pool().orElseThrow().name()).stream()
                .filter(endpoint -> streamVersion.allows(endpoint.entry()))
                .toList();
    }

    /** Returns the endpoints that accept new requests from this VM now. */
    List<EndpointState> available(long nowNanos) {
        return accepting().stream().filter(endpoint -> endpoint.isAvailable(nowNanos)).toList();
    }

    /** Returns whether the request can be sent to an endpoint that advertises no limit. */
    boolean hasUnlimited(Predicate<String> allowed, long nowNanos) {
        return available(nowNanos).stream()
                .filter(endpoint -> allowed.test(endpoint.entry().id()))
                .filter(endpoint -> !endpoint.isSuspect(nowNanos))
                .filter(endpoint -> !endpoint.isExpectedToReject(nowNanos))
                .anyMatch(
                        endpoint -> endpoint.limit().filter(EndpointLimit::isAdvertised).isEmpty());
    }

    /** Returns whether no VM could connect to one of the endpoints a moment ago. */
    boolean isAnyUnreachable(long nowNanos) {
        return accepting().stream()
                .anyMatch(endpoint -> endpoint.connections().unreachableNanos(nowNanos) > 0);
    }

    /**
     * Returns the time until the first endpoint accepts requests again after a backoff or a failed
     * connect; empty if an endpoint accepts requests now.
     *
     * @param limited endpoints that count as accepting none, since they are at their limits
     */
    OptionalLong retryMillis(Set<EndpointState> limited, long nowNanos) {
        if (admitted.pool().isEmpty() || !limited.containsAll(available(nowNanos))) {
            return OptionalLong.empty();
        }
        return accepting().stream()
                .mapToLong(endpoint -> endpoint.unavailableNanos(nowNanos))
                .filter(nanos -> nanos > 0)
                .map(nanos -> 1 + nanos / NANOS_PER_MILLI)
                .min();
    }
}
