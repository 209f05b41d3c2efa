package org.bronzelug.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.router.endpoint.BodyFraming;
import org.bronzelug.router.endpoint.ConnectionUse;
import org.bronzelug.router.endpoint.EndpointCall;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.endpoint.ResponseListener;
import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.ingress.CallerListener;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Forwards one admitted request and completes it exactly once: with a response, with an error, or
 * by closing the caller's connection in the middle of a response.
 *
 * <p>The request is sent to one endpoint at a time. If an attempt fails before the caller has got
 * any part of a response, the request is retried at another endpoint if {@link Attempts} allows it.
 * A resumable stream is resumed at another endpoint after the last event that was forwarded; while
 * no endpoint accepts it, it waits until the request's time limit. Otherwise the caller gets an
 * error, or its connection is closed. A request whose endpoint is stalled, and a resumable stream
 * whose endpoint is about to load weights, also move to another endpoint; a begun stream does so
 * only once that one has accepted it ({@link StreamMove}).
 *
 * <p>Invariants: a request that may have run, since it was written to a connection and not reported
 * as not executed, is sent again only if its route allows retries. A response states that the
 * request has not run only if that holds for all attempts. Confined to the traffic thread.
 */
final class Exchange implements ResponseListener, CallerListener, EndpointState.RequestListener {
    private static final int BAD_GATEWAY = 502;
    private static final int MISDIRECTED = 421;
    private static final String DEADLINE_PASSED = "the caller's deadline has passed";

    private final EventLoop traffic;
    private final TrafficState state;
    private final WireFormat wire;
    private final RouterMetrics metrics;
    private final FullHttpRequest request;
    private final AdmittedRequest admitted;
    private final ResponseRelay relay;
    private final ExchangeOutcome outcome;
    private final StreamResumer resumer;
    private final EndpointSelection selection;
    private final Attempts attempts;
    private final EndpointRequestBuilder builder;
    private final StreamMover mover;
    private final SilenceWatch silence;
    private final ExchangeLog log;
    private final CurrentAttempt attempt;
    private final StreamVersion streamVersion;
    private final ResponseStart responseStart;
    private final MoveConditions conditions;
    private final PartHold hold;
    private final EndpointCheck check;
    private final Abandonment abandonment;
    private final RequestWait wait;

    private Optional<ScheduledFuture<?>> timeout = Optional.empty();

    Exchange(
            EventLoop traffic,
            TrafficState state,
            WireFormat wire,
            RouterMetrics metrics,
            WaitingRequests waiting,
            FullHttpRequest request,
            CallerConnection caller,
            AdmittedRequest admitted,
            StreamVersion streamVersion) {
        this.traffic = traffic;
        this.state = state;
        this.wire = wire;
        this.metrics = metrics;
        this.request = request;
        this.admitted = admitted;
        this.streamVersion = streamVersion;
        PartGate gate = PartGate.of(state, admitted, request, caller.remoteHost());
        this.selection = new EndpointSelection(state, admitted, streamVersion, gate);
        this.attempts = new Attempts(state, admitted);
        this.builder = new EndpointRequestBuilder(state, wire, admitted);
        this.attempt = new CurrentAttempt(state, admitted, gate, this);
        this.outcome = new ExchangeOutcome(metrics, caller, this::release);
        this.silence = new SilenceWatch(traffic, admitted.route(), this::moveIfStalled);
        this.log = new ExchangeLog(admitted, gate);
        this.responseStart = new ResponseStart(state, metrics, admitted);
        this.relay =
                new ResponseRelay(
                        caller,
                        wire,
                        admitted.route(),
                        () -> streamVersion.bind(attempt.currentEndpoint().entry()));
        this.resumer =
                new StreamResumer(
                        this, traffic, relay, attempts, selection, builder, outcome, metrics, log);
        this.check = new EndpointCheck(state, admitted, gate);
        this.wait = new RequestWait(waiting, request, admitted, attempts, selection, outcome, log);
        this.abandonment =
                new Abandonment(
                        state, metrics, admitted, selection, attempts, wait, relay, resumer,
                        outcome);
        this.hold = new PartHold(outcome, traffic, gate, abandonment, metrics, log);
        this.conditions =
                new MoveConditions(
                        state, admitted, selection, attempts, builder, gate, streamVersion);
        this.mover =
                new StreamMover(
                        this, state, wire, request, admitted, selection, attempts, builder, relay,
                        check, gate, log);
    }

    void start() {
        timeout =
                Optional.of(
                        traffic.schedule(
                                this::onTimeout, admitted.timeoutMillis(), TimeUnit.MILLISECONDS));
        attempts.recordFirst();
        silence.start();
        dispatch();
    }

    private void dispatch() {
        long nowNanos = System.nanoTime();
        if (!mayBeSent(this::dispatch, nowNanos)) {
            return;
        }
        if (wait.isBehindOthers()) {
            abandonment.waitBehindOthers(this::dispatch);
            return;
        }
        Optional<EndpointState> chosen = wait.choose(nowNanos);
        if (chosen.isEmpty()) {
            abandonment.waitForEndpoint(this::dispatch, nowNanos);
        } else {
            send(chosen.get(), nowNanos);
        }
    }

    /** Returns whether the request may be sent now; if not, it is given up or continued later. */
    private boolean mayBeSent(Runnable continuation, long nowNanos) {
        if (builder.isExpired(nowNanos)) {
            abandonment.giveUp(DEADLINE_PASSED);
            return false;
        }
        return !abandonment.giveUpIfLate(nowNanos) && hold.admits(continuation, nowNanos);
    }

    /** Starts an attempt at the chosen endpoint. */
    private void send(EndpointState chosen, long nowNanos) {
        attempts.chargeRetry();
        selection.recordTried(chosen);
        attempt.begin(chosen, selection.runner(), nowNanos);
        hold.recordSent(chosen);
        wait.recordSent(nowNanos);
        Optional<RunnerChoice> runner = selection.runner();
        log.sent(chosen, runner, selection.limited());
        metrics.routed(nowNanos - admitted.arrivedNanos());
        FullHttpRequest copy =
                builder.build(request, chosen, runner, relay.lastEventId(), nowNanos);
        EndpointCall call = EndpointConnections.newCall(copy, admitted.head().id(), this);
        attempt.setCall(call);
        chosen.connections().send(call, nowNanos);
    }

    @Override
    public boolean beforeSend(HttpHeaders headers) {
        long nowNanos = System.nanoTime();
        if (builder.isExpired(nowNanos)) {
            selection.refund(nowNanos);
            attempt.end();
            abandonment.giveUp(DEADLINE_PASSED);
            return false;
        }
        Optional<String> obstacle = check.obstacle(attempt.currentEndpoint(), nowNanos);
        if (obstacle.isPresent()) {
            selection.refund(nowNanos);
            leaveUnsent(attempt.end(), obstacle.get());
            return false;
        }
        builder.remainingMillis(nowNanos).ifPresent(millis -> wire.setDeadline(headers, millis));
        return true;
    }

    @Override
    public void onUnreachable(String cause) {
        selection.refund(System.nanoTime());
        EndpointState failed = attempt.end();
        failed.recordFailure(System.nanoTime());
        leaveUnsent(failed, "unreachable: " + cause);
    }

    /** Sends the request elsewhere, since it did not reach the endpoint. */
    private void leaveUnsent(EndpointState left, String cause) {
        log.moved(left, attempts.sends(), cause);
        if (attempts.recordUnsent()) {
            retry(cause);
        } else {
            dispatch();
        }
    }

    @Override
    public void onSent(ConnectionUse use) {
        recordWritten(use);
        attempt.recordWritten();
        attempts.recordSent(attempt.currentEndpoint());
    }

    /** Records that the request was written to an endpoint, also as a move of a stream. */
    void recordWritten(ConnectionUse use) {
        log.written(use);
        responseStart.recordWritten(System.nanoTime());
    }

    @Override
    public void onHead(EndpointResponse head, HttpResponse response) {
        EndpointState responding = attempt.currentEndpoint();
        responding.recordResponse(head);
        responding.recordActivity(System.nanoTime());
        attempt.prefill().recordHead(responding, head);
        responseStart.recordHead(head, System.nanoTime());
        if (head.notExecuted() || head.status() == MISDIRECTED) {
            onNotExecuted(head);
            return;
        }
        if (head.genuine()) {
            attempt.prefill()
                    .recordResponse(responding, head, System.nanoTime() - attempt.sentNanos());
        }
        if (relay.hasBegun() && !(head.isSuccess() && head.genuine())) {
            onResumptionFailed(head);
            return;
        }
        boolean notGenuine = head.isSuccess() && !head.genuine();
        boolean failed = notGenuine || head.isServerError();
        if (failed) {
            Optional<EndpointState> other =
                    conditions.chooseOther(RetryKind.REQUIRED, System.nanoTime());
            if (other.isPresent()) {
                log.moved(attempt.fail(), attempts.sends(), "answered " + head.status());
                send(other.get(), System.nanoTime());
                return;
            }
        }
        if (notGenuine) {
            attempt.fail();
            outcome.fail(BAD_GATEWAY, "the endpoint's answer is not genuine");
            return;
        }
        attempt.accept();
        attempt.recordBegun(System.nanoTime());
        relay.begin(head, response);
    }

    /**
     * Resumes the stream elsewhere if the endpoint responded with anything but the rest of it. That
     * response must not be forwarded: its end would look like the end of the stream.
     */
    private void onResumptionFailed(EndpointResponse head) {
        EndpointState failed = attempt.fail();
        String cause = "answered " + head.status() + " in place of the rest of the stream";
        log.moved(failed, attempts.sends(), cause);
        resumer.resumeOrBreakOff(cause);
    }

    /** Retries a request that the endpoint did not execute, within the retry budget. */
    private void onNotExecuted(EndpointResponse head) {
        attempt.recordNotExecuted();
        EndpointState rejecting = attempt.end();
        attempts.recordNotExecuted(rejecting);
        rejecting.recordRejection(head.status() == MISDIRECTED, System.nanoTime());
        log.moved(rejecting, attempts.sends(), "not executed, status " + head.status());
        String reason = "endpoints refuse, last with " + head.status();
        if (!relay.hasBegun() && attempts.maySendAgain()) {
            retry(reason);
        } else {
            abandonment.giveUp(reason);
        }
    }

    /**
     * Sends the request to one more endpoint. A retry is reserved only once there is such an
     * endpoint; otherwise requests that no endpoint accepts would use up the retries of those that
     * one does.
     *
     * @param reason why the request has left its endpoint
     */
    void retry(String reason) {
        long nowNanos = System.nanoTime();
        if (!mayBeSent(() -> retry(reason), nowNanos)) {
            return;
        }
        Optional<EndpointState> next =
                relay.hasBegun() ? resumer.choose(nowNanos) : wait.choose(nowNanos);
        if (next.isEmpty()) {
            abandonment.waitForEndpoint(() -> retry(reason), nowNanos);
        } else if (attempts.reserveRetry(relay.retryKind())) {
            send(next.get(), nowNanos);
        } else {
            selection.refund(nowNanos);
            abandonment.giveUp(reason + "; no retry is left");
        }
    }

    @Override
    public void onData(ByteBuf data) {
        long nowNanos = System.nanoTime();
        attempt.endpoint().ifPresent(responding -> responding.recordActivity(nowNanos));
        attempt.recordData(nowNanos);
        responseStart.recordData(attempt.prefill().runner(), nowNanos);
        boolean wholePrompt = builder.isSaving() && relay.lastEventId().isEmpty();
        attempt.prefill().recordData(wholePrompt, builder.isSaving(), nowNanos);
        if (!relay.forward(data)) {
            leaveUnusableStream();
        }
    }

    /** Continues the stream at another endpoint, since its own can't be forwarded any more. */
    void leaveUnusableStream() {
        if (mover.isMoving()) {
            onBroken(relay.unusableCause());
            return;
        }
        attempt.fail();
        resumer.resumeOrBreakOff(relay.unusableCause());
    }

    @Override
    public void onComplete() {
        if (mover.isMoving() && !mover.stay("the response is complete")) {
            return;
        }
        if (relay.brokenOffCause().isEmpty()) {
            attempt.recordComplete(System.nanoTime());
        }
        EndpointState responded = attempt.end();
        if (relay.framing().filter(BodyFraming.CONNECTION_CLOSE::equals).isPresent()) {
            metrics.count("responses_ended_by_connection");
        }
        Optional<String> brokenOff = relay.brokenOffCause();
        if (brokenOff.isPresent()) {
            responded.recordFailure(System.nanoTime());
            resumer.resumeOrBreakOff(brokenOff.get());
            return;
        }
        relay.complete();
        streamVersion.complete();
        responseStart.recordComplete(System.nanoTime());
        outcome.complete(relay.status());
    }

    @Override
    public void onBroken(String cause) {
        if (mover.isMoving()) {
            attempt.currentEndpoint().recordFailure(System.nanoTime());
            resumer.begin();
            mover.accept();
            return;
        }
        continueElsewhere(attempt.fail(), cause);
    }

    /** Continues a request elsewhere that may have run at the endpoint that it has left. */
    private void continueElsewhere(EndpointState left, String cause) {
        if (relay.hasBegun()) {
            resumer.resumeOrBreakOff(cause);
            return;
        }
        relay.reset();
        if (attempts.isRetryable()) {
            log.moved(left, attempts.sends(), cause);
            retryOnceVerified(cause);
            return;
        }
        outcome.fail(BAD_GATEWAY, cause);
    }

    /** Does the same as {@link #retry}, once it is known whether the last endpoint has crashed. */
    void retryOnceVerified(String cause) {
        hold.afterVerification(() -> retry(cause), System.nanoTime());
    }

    @Override
    public void onPartsQuarantined() {
        if (!mover.isMoving()) {
            hold.withdrawIfRejected(attempt, System.nanoTime());
        }
    }

    /** Withdraws the request if it waits at an endpoint on whose weights it may not begin. */
    @Override
    public void onWeightsExpired() {
        long nowNanos = System.nanoTime();
        mover.stayIfWeightsExpired(nowNanos);
        if (!attempt.isWaiting() || check.mayWaitAt(attempt.currentEndpoint(), nowNanos)) {
            return;
        }
        metrics.count("requests_withdrawn_from_replaced_weights");
        continueElsewhere(attempt.end(), EndpointCheck.WEIGHTS_EXPIRED);
    }

    private void moveIfStalled() {
        if (mover.isMoving()) {
            mover.stayIfOverdue(System.nanoTime());
        } else {
            silence.stallCause(attempt, responseStart.hasBegun(), System.nanoTime())
                    .ifPresent(cause -> moveToOtherEndpoint(cause, relay.retryKind()));
        }
    }

    /** Moves a resumable stream to another runner, since its own waits for its requests to end. */
    @Override
    public void onDrain() {
        if (conditions.leavesDraining(attempt.currentEndpoint())) {
            moveToOtherEndpoint("runner drains", RetryKind.OPTIONAL);
        }
    }

    /** Moves the request if that is allowed and another endpoint accepts it; otherwise it stays. */
    private void moveToOtherEndpoint(String cause, RetryKind kind) {
        boolean possible = !mover.isMoving() && (!relay.hasBegun() || relay.canResume());
        Optional<EndpointState> other =
                possible ? conditions.chooseOther(kind, System.nanoTime()) : Optional.empty();
        if (other.isEmpty()) {
            return;
        }
        // An attempt that its endpoint has not accepted has nothing that the stream could stay for.
        if (relay.hasBegun() && attempt.isAccepted()) {
            mover.begin(other.get(), cause, System.nanoTime());
            silence.checkAfter(StreamMove.ACCEPTANCE_NANOS);
            return;
        }
        if (!relay.hasBegun()) {
            relay.reset();
        }
        log.moved(attempt.end(), attempts.sends(), cause);
        send(other.get(), System.nanoTime());
    }

    /** Continues the stream at the endpoint that has accepted it. */
    void takeOver(StreamMove accepted) {
        relay.prepareResume();
        log.moved(attempt.end(), attempts.sends(), accepted.cause());
        attempt.takeOver(accepted);
    }

    private void onTimeout() {
        attempt.abandon();
        abandonment.timeOut();
    }

    @Override
    public void onShutdown() {
        attempt.abandon();
        abandonment.shutDown();
    }

    @Override
    public void onCallerClosed() {
        attempt.abandon();
        outcome.callerLeft();
    }

    @Override
    public void onWritable(boolean writable) {
        attempt.call().ifPresent(current -> current.setReading(writable));
    }

    private void release(String outcomeName, String reason) {
        mover.cancel();
        attempts.releaseRetry();
        timeout.ifPresent(running -> running.cancel(false));
        silence.stop();
        wait.end();
        request.release();
        relay.release();
        long elapsedNanos = System.nanoTime() - admitted.arrivedNanos();
        metrics.finished(TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
        log.ended(
                outcomeName,
                reason,
                selection.tried(),
                attempt.prefill().runner().or(selection::runner),
                relay.describeEnd(),
                streamVersion.version(),
                responseStart);
    }
}
