package org.bronzelug.router.exchange;

import java.util.OptionalLong;
import org.bronzelug.core.poison.PartAdmission;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Gives up a request that can't be sent to an endpoint now: rejects it as not run if that is
 * certain, fails it if it may have run, and has its stream resumed later if it has begun. Confined
 * to the traffic thread.
 */
final class Abandonment {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final String STOPPING = "this VM stops";

    /** Retry delay if other VMs serve the request at once. */
    private static final long OTHER_VM_MILLIS = 50;

    private final TrafficState state;
    private final RouterMetrics metrics;
    private final AdmittedRequest admitted;
    private final EndpointSelection selection;
    private final Attempts attempts;
    private final RequestWait wait;
    private final ResponseRelay relay;
    private final StreamResumer resumer;
    private final ExchangeOutcome outcome;

    Abandonment(
            TrafficState state,
            RouterMetrics metrics,
            AdmittedRequest admitted,
            EndpointSelection selection,
            Attempts attempts,
            RequestWait wait,
            ResponseRelay relay,
            StreamResumer resumer,
            ExchangeOutcome outcome) {
        this.state = state;
        this.metrics = metrics;
        this.admitted = admitted;
        this.selection = selection;
        this.attempts = attempts;
        this.wait = wait;
        this.relay = relay;
        this.resumer = resumer;
        this.outcome = outcome;
    }

    /**
     * Has the request wait because the last choice found no endpoint or rejected its prompt for
     * overload, or gives it up.
     *
     * @param again tries to send the request
     */
    void waitForEndpoint(Runnable again, long nowNanos) {
        OptionalLong overloadMillis = selection.retryAfterMillis();
        if (overloadMillis.isPresent()) {
            long queued = Math.round(selection.runner().orElseThrow().queuedTokens());
            String reason = "runners are full, queued=" + queued;
            if (!waits(reason, overloadMillis.getAsLong(), again)) {
                rejectNotRun(reason, overloadMillis.getAsLong());
            }
            return;
        }
        Unavailability cause = selection.unavailability(nowNanos);
        // A cause without a counter states a usual time, not a known one.
        long knownMillis = cause.counter().isPresent() ? cause.retryAfterMillis() : 0;
        if (!waits(cause.reason(), knownMillis, again)) {
            cause.counter().ifPresent(metrics::count);
            giveUp(cause.reason(), cause.retryAfterMillis());
        }
    }

    /**
     * Has the request wait behind earlier ones of its team, or gives it up.
     *
     * @param again tries to send the request
     */
    void waitBehindOthers(Runnable again) {
        String reason = "earlier requests of the team wait";
        if (!waits(reason, 0, again)) {
            giveUp(reason);
        }
    }

    /** Returns whether the request waits; only one that has certainly not run does. */
    private boolean waits(String reason, long knownMillis, Runnable again) {
        return !relay.hasBegun()
                && !attempts.mayHaveRun()
                && wait.begin(reason, knownMillis, again, this::giveUp);
    }

    /** Gives the request up because its time is over. */
    void timeOut() {
        if (relay.hasBegun()) {
            outcome.breakOff("timeout before the response was complete");
        } else if (attempts.mayHaveRun()) {
            outcome.fail(GATEWAY_TIMEOUT, "no answer in time");
        } else {
            giveUp("no endpoint in time");
        }
    }

    /**
     * Gives the request up if it is not expected to end before this VM does.
     *
     * @return whether it was given up
     */
    boolean giveUpIfLate(long nowNanos) {
        if (admitted.isAdmittedBy(state.stopAdmission(), nowNanos)) {
            return false;
        }
        metrics.count("requests_given_up_by_stop");
        shutDown();
        return true;
    }

    /** Gives the request up because this VM ends. */
    void shutDown() {
        if (relay.hasBegun()) {
            outcome.breakOff(STOPPING);
        } else if (attempts.mayHaveRun()) {
            outcome.fail(BAD_GATEWAY, STOPPING);
        } else {
            refund();
            outcome.rejectNotRun(STOPPING, OTHER_VM_MILLIS);
        }
    }

    /** Gives the request up because it, or parts of its prompt, are under quarantine. */
    void giveUpQuarantined(PartAdmission.Rejected rejected) {
        String reason = PartGate.reason(rejected);
        metrics.count("requests_rejected_for_quarantined_parts");
        if (relay.hasBegun()) {
            outcome.breakOff(reason);
        } else if (attempts.mayHaveRun()) {
            outcome.fail(BAD_GATEWAY, reason);
        } else {
            refund();
            outcome.rejectNotRun(reason, PartGate.retryMillis(rejected));
        }
    }

    /** Gives the request up. */
    void giveUp(String reason) {
        giveUp(reason, selection.retryMillis(System.nanoTime()));
    }

    private void giveUp(String reason, long retryAfterMillis) {
        if (relay.hasBegun()) {
            resumer.resumeLater(reason);
        } else if (attempts.mayHaveRun()) {
            outcome.fail(BAD_GATEWAY, reason);
        } else {
            rejectNotRun(reason, retryAfterMillis);
        }
    }

    /** Rejects a request that has not run at any endpoint, and refunds its tokens. */
    private void rejectNotRun(String reason, long retryAfterMillis) {
        refund();
        outcome.rejectNotRun(reason, wait.returnMillis(retryAfterMillis));
    }

    private void refund() {
        admitted.team().ifPresent(team -> state.rates().refund(team, admitted.tokens()));
    }
}
