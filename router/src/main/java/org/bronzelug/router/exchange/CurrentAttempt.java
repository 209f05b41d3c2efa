package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.core.poison.WatchedAttempt;
import org.bronzelug.router.endpoint.EndpointCall;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * The attempt of a request that is in progress: its endpoint, its call and the prefill of its
 * prompt there.
 *
 * <p>Invariant: the request counts as in flight at its endpoint from {@link #begin} to {@link
 * #end}, and at no other one. The call is known before any of its events and ends with the attempt,
 * so an event of an attempt that has ended reaches no other one. Confined to the traffic thread.
 */
final class CurrentAttempt {
    private final EndpointState.RequestListener owner;
    private final PartGate gate;
    private Optional<WatchedAttempt> watched = Optional.empty();
    private Optional<EndpointState> endpoint = Optional.empty();
    private Optional<EndpointCall> call = Optional.empty();
    private PrefillProgress prefill;
    private long sentNanos;
    private boolean accepted;
    private boolean written;
    private boolean begun;

    CurrentAttempt(
            TrafficState state,
            AdmittedRequest admitted,
            PartGate gate,
            EndpointState.RequestListener owner) {
        this.owner = owner;
        this.gate = gate;
        this.prefill = new PrefillProgress(state, admitted);
    }

    /** Returns the endpoint of the attempt; empty if no attempt is in progress. */
    Optional<EndpointState> endpoint() {
        return endpoint;
    }

    /** Returns the endpoint of the attempt, which must be in progress. */
    EndpointState currentEndpoint() {
        return endpoint.orElseThrow();
    }

    Optional<EndpointCall> call() {
        return call;
    }

    PrefillProgress prefill() {
        return prefill;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Returns whether the endpoint has begun to send the response that is forwarded. */
    boolean isAccepted() {
        return accepted;
    }

    void accept() {
        accepted = true;
    }

    /** Returns whether the request was written and its response has not begun. */
    boolean isWaiting() {
        return endpoint.isPresent() && written && !begun;
    }

    /** Records that the request was written to the endpoint's connection. */
    void recordWritten() {
        written = true;
        watched.ifPresent(WatchedAttempt::recordWritten);
    }

    /** Records that the endpoint has begun to respond to the request. */
    void recordBegun(long nowNanos) {
        watched.ifPresent(present -> present.recordHead(nowNanos));
        gate.recordChange();
    }

    /** Records that bytes of the response body have arrived. */
    void recordData(long nowNanos) {
        begun = true;
        watched.ifPresent(present -> present.recordData(nowNanos));
    }

    /** Records that the endpoint stated that it did not run the request. */
    void recordNotExecuted() {
        watched.ifPresent(WatchedAttempt::recordNotExecuted);
    }

    /** Records that the whole response has arrived. */
    void recordComplete(long nowNanos) {
        watched.ifPresent(present -> present.complete(nowNanos));
        gate.recordComplete(currentEndpoint());
    }

    /**
     * Begins an attempt.
     *
     * @param runner the choice of the runner; empty for requests without a prompt
     */
    void begin(EndpointState chosen, Optional<RunnerChoice> runner, long nowNanos) {
        endpoint = Optional.of(chosen);
        chosen.begin(owner, nowNanos);
        sentNanos = nowNanos;
        accepted = false;
        written = false;
        begun = false;
        prefill.begin(runner, nowNanos);
        watched = Optional.of(gate.begin(chosen, nowNanos));
    }

    void setCall(EndpointCall started) {
        call = Optional.of(started);
    }

    /** Continues with the attempt of a move, at which the request counts already. */
    void takeOver(StreamMove move) {
        endpoint = Optional.of(move.target());
        call = move.call();
        prefill = move.prefill();
        watched = Optional.of(move.watched());
        sentNanos = move.startNanos();
        accepted = false;
        written = true;
        begun = false;
    }

    /** Cancels the attempt, if one is in progress. */
    void abandon() {
        if (endpoint.isPresent()) {
            end();
        }
    }

    /** Cancels the attempt, since its endpoint has failed, and returns that endpoint. */
    EndpointState fail() {
        EndpointState failed = end();
        failed.recordFailure(System.nanoTime());
        return failed;
    }

    /** Ends the attempt, cancels its call and returns the endpoint that it was sent to. */
    EndpointState end() {
        EndpointState current = currentEndpoint();
        call.ifPresent(EndpointCall::cancel);
        call = Optional.empty();
        endpoint = Optional.empty();
        current.end(owner);
        prefill.end();
        watched.ifPresent(present -> present.end(System.nanoTime()));
        watched = Optional.empty();
        gate.recordChange();
        return current;
    }
}
