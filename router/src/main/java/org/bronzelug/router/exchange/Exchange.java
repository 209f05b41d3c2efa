package org.bronzelug.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.router.endpoint.EndpointCall;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.endpoint.ResponseListener;
import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.ingress.CallerListener;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * One admitted request: sent to an endpoint, perhaps to another one, and answered once.
 *
 * <p>Invariant: a request that was handed to a connection and not stated to be not executed is sent
 * again only where its route allows that; and "not run" is said only where it holds for all
 * attempts. Confined to the traffic thread.
 */
final class Exchange implements ResponseListener, CallerListener, EndpointState.DrainListener {
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int MISDIRECTED = 421;
    private static final String DEADLINE_PASSED = "the caller's deadline has passed";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * How long past the caller's deadline an answer is waited for. The endpoint knows the deadline
     * and answers by then itself; its answer takes a moment.
     */
    private static final long DEADLINE_GRACE_MILLIS = 150;

    /** Retry after a refusal for want of endpoints: a runner is back, or replaced, in a second. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 250;

    /** Plain calls take a sixth of their goal; one that takes twice the goal is stuck. */
    private static final int STALLED_GOAL_MULTIPLE = 2;

    /**
     * Half of the gap between events that callers bear at least, in steps of a datagram's round.
     */
    private static final int MAXIMUM_RESUME_DELAYS = 7;

    private static final long RESUME_DELAY_MILLIS = 150;

    private final EventLoop traffic;
    private final TrafficState state;
    private final WireFormat wire;
    private final RouterMetrics metrics;
    private final FullHttpRequest request;
    private final CallerConnection caller;
    private final AdmittedRequest admitted;
    private final ResponseRelay relay;
    private int resumeDelays;
    private final EndpointSelection selection;
    private final Attempts attempts;
    private final EndpointRequestBuilder requests;
    private final PrefillProgress prefill;
    private final SilenceWatch silence;
    private final ExchangeLog log;

    private Optional<ScheduledFuture<?>> timeout = Optional.empty();
    private Optional<EndpointState> endpoint = Optional.empty();
    private Optional<EndpointCall> call = Optional.empty();
    private long firstNanos;
    private long sentNanos;
    private boolean done;

    Exchange(
            EventLoop traffic,
            TrafficState state,
            WireFormat wire,
            RouterMetrics metrics,
            FullHttpRequest request,
            CallerConnection caller,
            AdmittedRequest admitted) {
        this.traffic = traffic;
        this.state = state;
        this.wire = wire;
        this.metrics = metrics;
        this.request = request;
        this.caller = caller;
        this.admitted = admitted;
        this.selection = new EndpointSelection(state, admitted);
        this.attempts = new Attempts(state, admitted);
        this.requests = new EndpointRequestBuilder(state, wire, admitted);
        this.prefill = new PrefillProgress(state, admitted);
        this.silence = new SilenceWatch(traffic, this::moveIfStalled);
        this.log = new ExchangeLog(admitted);
        this.relay = new ResponseRelay(caller, wire, admitted.route());
    }

    private Route route() {
        return admitted.route();
    }

    void start() {
        long timeoutMillis = route().timeoutMillis();
        OptionalLong deadline = admitted.head().deadlineMillis();
        if (deadline.isPresent()) {
            timeoutMillis = Math.min(timeoutMillis, deadline.getAsLong() + DEADLINE_GRACE_MILLIS);
        }
        timeout =
                Optional.of(
                        traffic.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS));
        admitted.pool()
                .ifPresent(pool -> state.recordFirstAttempt(pool.name(), admitted.arrivedNanos()));
        if (route().repeat() != RetryPolicy.AT_MOST_ONCE) {
            silence.start();
        }
        dispatch();
    }

    private void dispatch() {
        long nowNanos = System.nanoTime();
        if (requests.isExpired(nowNanos)) {
            giveUp(DEADLINE_PASSED);
            return;
        }
        endpoint = selection.choose(nowNanos);
        if (endpoint.isEmpty()) {
            abandonUnplaced(nowNanos);
            return;
        }
        OptionalLong retryAfterMillis = selection.retryAfterMillis();
        if (retryAfterMillis.isPresent()) {
            endpoint = Optional.empty();
            rejectNotRun(
                    "runners are full, queued="
                            + Math.round(selection.runner().orElseThrow().queuedTokens()),
                    retryAfterMillis.getAsLong());
            return;
        }
        send(endpoint.get(), nowNanos);
    }

    /** Sends to an endpoint that was chosen. */
    private void send(EndpointState chosen, long nowNanos) {
        endpoint = Optional.of(chosen);
        chargeRetry();
        selection.recordTried(chosen);
        chosen.begin(this, nowNanos);
        sentNanos = nowNanos;
        prefill.begin(selection.runner(), nowNanos);
        log.sent(chosen, prefill.runner(), selection.limited());
        metrics.routed(nowNanos - admitted.arrivedNanos());
        FullHttpRequest copy =
                requests.build(request, chosen, prefill.runner(), relay.lastEventId(), nowNanos);
        call = Optional.of(chosen.connections().send(copy, admitted.head().id(), this, nowNanos));
    }

    private void abandonUnplaced(long nowNanos) {
        OptionalLong limitMillis = selection.limitRetryMillis(nowNanos);
        if (limitMillis.isPresent()) {
            metrics.count("requests_past_endpoint_limits");
            giveUp("endpoints are at the limits that they named", limitMillis.getAsLong());
        } else {
            giveUp("no endpoint takes the request");
        }
    }

    /** A request that may have run before counts once more against its team's rate. */
    private void chargeRetry() {
        if (attempts.mayHaveRun()) {
            admitted.team().ifPresent(team -> state.rates().charge(team, admitted.tokens()));
        }
    }

    @Override
    public boolean beforeSend(HttpHeaders headers) {
        long nowNanos = System.nanoTime();
        if (requests.isExpired(nowNanos)) {
            selection.refund(nowNanos);
            endAttempt();
            giveUp(DEADLINE_PASSED);
            return false;
        }
        requests.remainingMillis(nowNanos).ifPresent(millis -> wire.setDeadline(headers, millis));
        return true;
    }

    @Override
    public void onUnreachable(String cause) {
        selection.refund(System.nanoTime());
        EndpointState failed = endAttempt();
        failed.recordFailure(System.nanoTime());
        log.moved(failed, attempts.sends(), "unreachable: " + cause);
        dispatch();
    }

    @Override
    public void onSent() {
        attempts.recordSent(endpoint.orElseThrow());
    }

    @Override
    public void onHead(EndpointResponse answer, HttpResponse response) {
        EndpointState answering = endpoint.orElseThrow();
        answering.recordResponse(answer);
        answering.recordActivity(System.nanoTime());
        prefill.answered(answering, answer);
        if (answer.notExecuted() || answer.status() == MISDIRECTED) {
            onNotExecuted(answer);
            return;
        }
        boolean spoiled = answer.isSuccess() && !answer.genuine();
        boolean failed = spoiled || answer.isServerError();
        if (failed) {
            Optional<EndpointState> other = chooseForRetry(RetryKind.REQUIRED);
            if (other.isPresent()) {
                cancelCall();
                answering.recordFailure(System.nanoTime());
                log.moved(endAttempt(), attempts.sends(), "answered " + answer.status());
                send(other.get(), System.nanoTime());
                return;
            }
        }
        if (spoiled) {
            cancelCall();
            endAttempt().recordFailure(System.nanoTime());
            fail(BAD_GATEWAY, "the endpoint's answer is not genuine");
            return;
        }
        relay.begin(answer, response);
    }

    /** The endpoint states that nothing ran: the request may go elsewhere, within the budget. */
    private void onNotExecuted(EndpointResponse answer) {
        cancelCall();
        EndpointState refusing = endAttempt();
        attempts.recordNotExecuted(refusing);
        if (answer.status() == MISDIRECTED) {
            refusing.markWeightsUnknown(System.nanoTime());
        } else {
            refusing.recordFailure(System.nanoTime());
        }
        log.moved(refusing, attempts.sends(), "not executed, status " + answer.status());
        if (!relay.hasBegun() && attempts.tryAfterRejection()) {
            dispatch();
        } else {
            giveUp("endpoints refuse, last with " + answer.status());
        }
    }

    @Override
    public void onData(ByteBuf data) {
        long nowNanos = System.nanoTime();
        endpoint.ifPresent(answering -> answering.recordActivity(nowNanos));
        if (firstNanos == 0) {
            firstNanos = nowNanos;
        }
        boolean wholePrompt = requests.isSaving() && relay.lastEventId().isEmpty();
        prefill.received(wholePrompt, requests.isSaving(), nowNanos);
        if (!relay.data(data)) {
            cancelCall();
            endAttempt();
            caller.abort();
            finish("broken", "an event of the stream is missing");
        }
    }

    @Override
    public void onComplete() {
        endAttempt();
        if (relay.complete()) {
            finish(String.valueOf(relay.status()), "complete");
        } else {
            resumeOrAbort("stream ended within an event");
        }
    }

    @Override
    public void onBroken(String cause) {
        EndpointState broken = endAttempt();
        broken.recordFailure(System.nanoTime());
        if (relay.hasBegun()) {
            resumeOrAbort(cause);
            return;
        }
        relay.reset();
        if (attempts.tryRetry()) {
            log.moved(broken, attempts.sends(), cause);
            dispatch();
            return;
        }
        fail(BAD_GATEWAY, cause);
    }

    /** The answer has begun: a stream goes on elsewhere if it may, anything else is broken off. */
    private void resumeOrAbort(String cause) {
        if (relay.prepareResume() && attempts.tryRetry()) {
            log.streamMoved(cause);
            dispatch();
            return;
        }
        caller.abort();
        finish("broken", cause);
    }

    /**
     * A begun stream that no endpoint takes just now is tried again a little later.
     *
     * <p>The failure this prevents: it left a runner that was to load weights, the next one began
     * to load at the same moment and refused it, and its caller saw it break off although both
     * runners took requests again within a second. Callers bear a gap of two seconds and more.
     */
    private boolean scheduleResume() {
        if (!relay.canResume() || resumeDelays >= MAXIMUM_RESUME_DELAYS) {
            return false;
        }
        resumeDelays++;
        selection.clearTried();
        traffic.schedule(this::resume, RESUME_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return true;
    }

    private void resume() {
        if (done) {
            return;
        }
        if (attempts.takeRetry(RetryKind.REQUIRED)) {
            dispatch();
        } else {
            giveUp("no repeat left for the stream");
        }
    }

    private void moveIfStalled() {
        if (endpoint.filter(waiting -> isStalled(waiting, System.nanoTime())).isPresent()) {
            moveToOther("endpoint is silent", RetryKind.REQUIRED);
        }
    }

    private boolean isStalled(EndpointState waiting, long nowNanos) {
        long waitedMillis = (nowNanos - sentNanos) / NANOS_PER_MILLI;
        boolean slow =
                !route().stream()
                        && firstNanos == 0
                        && waitedMillis > STALLED_GOAL_MULTIPLE * route().goalMillis();
        return slow || waiting.isSilent(nowNanos);
    }

    /** Moves a resumable stream to another runner, so that this one loads weights sooner. */
    @Override
    public void onDrain() {
        if (route().repeat() == RetryPolicy.RESUMABLE) {
            moveToOther("runner loads weights", RetryKind.BY_CHOICE);
        }
    }

    /**
     * An endpoint that takes the request now, for one that may be repeated; it is chosen before the
     * answer that is under way is given up, as there may be none.
     */
    private Optional<EndpointState> chooseForRetry(RetryKind kind) {
        long nowNanos = System.nanoTime();
        if (!attempts.isRetryable() || requests.isExpired(nowNanos)) {
            return Optional.empty();
        }
        Optional<EndpointState> other = selection.choose(nowNanos);
        if (other.isPresent() && !attempts.takeRetry(kind)) {
            selection.refund(nowNanos);
            return Optional.empty();
        }
        return other;
    }

    /** Goes to another endpoint if that is allowed and one takes the request; otherwise stays. */
    private void moveToOther(String cause, RetryKind kind) {
        boolean possible = !relay.hasBegun() || relay.canResume();
        Optional<EndpointState> other = possible ? chooseForRetry(kind) : Optional.empty();
        if (other.isEmpty()) {
            return;
        }
        cancelCall();
        if (relay.hasBegun()) {
            relay.prepareResume();
        } else {
            relay.reset();
        }
        log.moved(endAttempt(), attempts.sends(), cause);
        send(other.get(), System.nanoTime());
    }

    private void onTimeout() {
        timeout = Optional.empty();
        if (done) {
            return;
        }
        cancelCall();
        endpoint.ifPresent(state -> endAttempt());
        if (relay.hasBegun()) {
            caller.abort();
            finish("broken", "timeout within the answer");
        } else if (attempts.mayHaveRun()) {
            fail(GATEWAY_TIMEOUT, "no answer in time");
        } else {
            giveUp("no endpoint in time");
        }
    }

    private void giveUp(String reason) {
        giveUp(reason, NO_ENDPOINT_RETRY_MILLIS);
    }

    /** Refuses as not run where that holds, with a retry delay. */
    private void giveUp(String reason, long retryAfterMillis) {
        if (relay.hasBegun()) {
            if (!scheduleResume()) {
                caller.abort();
                finish("broken", reason);
            }
            return;
        }
        if (attempts.mayHaveRun()) {
            fail(BAD_GATEWAY, reason);
            return;
        }
        rejectNotRun(reason, retryAfterMillis);
    }

    /** Refuses what has run nowhere, and gives its tokens back. */
    private void rejectNotRun(String reason, long retryAfterMillis) {
        admitted.team().ifPresent(team -> state.rates().refund(team, admitted.tokens()));
        metrics.refused(UNAVAILABLE);
        finish(String.valueOf(UNAVAILABLE), reason);
        caller.refuse(Rejection.retryLater(UNAVAILABLE, reason, "retry later", retryAfterMillis));
    }

    private void fail(int status, String reason) {
        metrics.failed(status);
        finish(String.valueOf(status), reason);
        caller.refuse(Rejection.of(status, reason, "the request may have run"));
    }

    @Override
    public void onCallerClosed() {
        cancelCall();
        endpoint.ifPresent(state -> endAttempt());
        finish("gone", "the caller closed its connection");
    }

    @Override
    public void onWritable(boolean writable) {
        call.ifPresent(underWay -> underWay.setReading(writable));
    }

    private void cancelCall() {
        call.ifPresent(EndpointCall::cancel);
        call = Optional.empty();
    }

    private EndpointState endAttempt() {
        EndpointState left = endpoint.orElseThrow();
        endpoint = Optional.empty();
        left.end(this);
        prefill.end();
        call = Optional.empty();
        return left;
    }

    private void finish(String outcome, String reason) {
        if (done) {
            return;
        }
        done = true;
        timeout.ifPresent(running -> running.cancel(false));
        silence.stop();
        request.release();
        relay.release();
        metrics.finished((System.nanoTime() - admitted.arrivedNanos()) / NANOS_PER_MILLI);
        log.ended(
                outcome,
                reason,
                selection.tried(),
                prefill.runner().or(selection::runner),
                firstNanos);
    }
}
