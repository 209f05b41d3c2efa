package org.bronzelug.router.exchange;

import java.util.HashSet;
import java.util.Set;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * The sends of one request, and whether it may be sent once more.
 *
 * <p>Invariant: an endpoint that stated not to have executed the request uses up none of the
 * route's attempts. Confined to the traffic thread.
 */
final class Attempts {
    /** Sends of one request that were all stated not to have run. */
    private static final int MAXIMUM_SENDS = 3;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final Set<String> sentTo = new HashSet<>();
    private int sends;
    private int uncertainSends;

    Attempts(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /** The request was written to the endpoint. */
    void recordSent(EndpointState endpoint) {
        sends++;
        uncertainSends++;
        sentTo.add(endpoint.entry().id());
    }

    /** The endpoint states that it did not run the request. */
    void recordNotExecuted(EndpointState endpoint) {
        uncertainSends--;
        sentTo.remove(endpoint.entry().id());
    }

    /** How often the request was sent. */
    int sends() {
        return sends;
    }

    /** Whether the request was sent and not stated to be not executed. */
    boolean mayHaveRun() {
        return uncertainSends > 0;
    }

    /** Whether a request that ran nowhere may be sent to one more endpoint; takes the budget. */
    boolean tryAfterRejection() {
        return sends < MAXIMUM_SENDS && takeRetry(RetryKind.REQUIRED);
    }

    /** Whether a request that may have run may be sent to one more endpoint; takes the budget. */
    boolean tryRetry() {
        return isRetryable() && takeRetry(RetryKind.REQUIRED);
    }

    /** Whether the route allows one more endpoint for a request that may have run. */
    boolean isRetryable() {
        boolean repeatable = admitted.route().repeat() != RetryPolicy.AT_MOST_ONCE;
        return repeatable && sentTo.size() < admitted.route().maximumAttempts();
    }

    /** Takes one repeat out of the budget, if it is there. */
    boolean takeRetry(RetryKind kind) {
        return admitted.pool()
                .map(pool -> state.tryRetry(kind, pool.name(), System.nanoTime()))
                .orElse(false);
    }
}
