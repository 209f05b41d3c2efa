package org.bronzelug.router.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Counts the attempts of one request and decides whether it may be sent to one more endpoint.
 *
 * <p>After an endpoint stated that it did not execute the request, the request may be retried on
 * every route, as long as it was sent fewer than {@link #MAXIMUM_SENDS} times. After an attempt
 * that may have run, it may be retried only if its route allows that, up to the route's maximum
 * number of endpoints. Both kinds of retry also take one retry out of the pool's budget, which
 * keeps retries from adding to an overload. An attempt whose connection could not be opened does
 * not count.
 *
 * <p>Invariant: an endpoint that stated that it did not execute the request does not count against
 * the route's maximum. Confined to the traffic thread.
 */
final class Attempts {
    /** Maximum number of sends of a request that no endpoint has executed. */
    private static final int MAXIMUM_SENDS = 3;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final Set<String> uncertainEndpoints = new HashSet<>();
    private int sends;
    private int uncertainSends;
    private boolean charged;
    private boolean retryReserved;

    Attempts(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /** Records the first attempt in the pool's retry budget. */
    void recordFirst() {
        admitted.pool()
                .ifPresent(
                        pool ->
                                state.retries()
                                        .recordFirstAttempt(pool.name(), admitted.arrivedNanos()));
    }

    /** Records that the request was written to the endpoint. */
    void recordSent(EndpointState endpoint) {
        sends++;
        recordRetrySent();
        uncertainSends++;
        uncertainEndpoints.add(endpoint.entry().id());
    }

    private void recordRetrySent() {
        if (retryReserved) {
            state.retries().recordSent(poolName());
        } else if (sends > 1) {
            state.retries().recordSentUnreserved(poolName());
        }
        retryReserved = false;
    }

    /** Returns the pool's name; only requests with a pool are sent. */
    private String poolName() {
        return admitted.pool().orElseThrow().name();
    }

    /** Records that the endpoint stated that it did not execute the request. */
    void recordNotExecuted(EndpointState endpoint) {
        refundCharge();
        uncertainSends--;
        uncertainEndpoints.remove(endpoint.entry().id());
    }

    /** Returns how often the request was sent. */
    int sends() {
        return sends;
    }

    /** Returns whether the request may have run: not all endpoints stated that it did not. */
    boolean mayHaveRun() {
        return uncertainSends > 0;
    }

    /** Charges the team's rate again if the request may have run in an earlier attempt. */
    void chargeRetry() {
        charged = mayHaveRun();
        if (charged) {
            admitted.team().ifPresent(team -> state.rates().charge(team, admitted.tokens()));
        }
    }

    /** Refunds the charge of the last attempt, if there was one, since the attempt has not run. */
    private void refundCharge() {
        if (charged) {
            admitted.team().ifPresent(team -> state.rates().refund(team, admitted.tokens()));
        }
        charged = false;
    }

    /** Returns whether a request that the last endpoint did not execute may be sent once more. */
    boolean maySendAgain() {
        return sends < MAXIMUM_SENDS;
    }

    /** Returns whether the route allows one more endpoint for a request that may have run. */
    boolean isRetryable() {
        boolean retryable = admitted.route().retryPolicy() != RetryPolicy.AT_MOST_ONCE;
        return retryable && uncertainEndpoints.size() < admitted.route().maximumAttempts();
    }

    /**
     * Chooses another endpoint and reserves a retry, if the request may be retried.
     *
     * @return the endpoint; empty if there is none, or no retry is left
     */
    Optional<EndpointState> chooseForRetry(
            EndpointSelection selection, RetryKind kind, long nowNanos) {
        Optional<EndpointState> other =
                isRetryable() ? selection.choose(nowNanos) : Optional.empty();
        if (other.isPresent() && !reserveRetry(kind)) {
            selection.refund(nowNanos);
            return Optional.empty();
        }
        return other;
    }

    /** Reserves one retry of the pool's budget, if one is left and none is reserved yet. */
    boolean reserveRetry(RetryKind kind) {
        retryReserved =
                retryReserved
                        || (admitted.pool().isPresent()
                                && state.retries().tryReserve(kind, poolName(), System.nanoTime()));
        return retryReserved;
    }

    /**
     * Records that the last attempt was not written to an endpoint: releases its retry and refunds
     * its charge to the team's rate.
     *
     * @return whether the attempt was a retry
     */
    boolean recordUnsent() {
        refundCharge();
        return releaseRetry();
    }

    /**
     * Releases the retry that is reserved and was not sent, if there is one.
     *
     * @return whether there was one
     */
    boolean releaseRetry() {
        boolean released = retryReserved;
        if (released) {
            state.retries().release(poolName());
        }
        retryReserved = false;
        return released;
    }
}
