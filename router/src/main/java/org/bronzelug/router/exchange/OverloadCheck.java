package org.bronzelug.router.exchange;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.admission.FairShares;
import org.bronzelug.core.admission.OverloadAdmission;
import org.bronzelug.core.placement.PromptAdmission;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TeamShares;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Decides whether one prompt may be sent to a runner with a queue: in adaptive pools by its team's
 * share ({@link OverloadAdmission}), in all others by its route alone ({@link PromptAdmission}).
 * Confined to the traffic thread.
 */
final class OverloadCheck {
    /** Priority of the most urgent routes. */
    private static final int HIGHEST_PRIORITY = 0;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final boolean urgent;
    private boolean arrivalRecorded;

    OverloadCheck(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
        this.urgent = admitted.route().priority() == HIGHEST_PRIORITY;
    }

    /**
     * Returns the retry delay if the prompt may not be sent, else empty. In adaptive pools it is
     * the time until the runner's queue is short enough for the prompt.
     */
    OptionalLong retryAfterMillis(EndpointPool pool, RunnerChoice runner, long nowNanos) {
        double queuedNanos = state.choice().waitNanos(runner);
        long goalMillis = admitted.route().goalMillis();
        if (!state.endpoints().adaptivePools().contains(pool.name())) {
            return PromptAdmission.retryAfterMillis(
                    urgent, goalMillis, queuedNanos, ThreadLocalRandom.current().nextDouble());
        }
        FairShares shares = state.shares().current(pool.name(), nowNanos);
        boolean beyond = isBeyondShare(shares);
        if (beyond && !urgent && !arrivalRecorded) {
            arrivalRecorded = true;
            double spare = OverloadAdmission.spare(goalMillis, queuedNanos);
            state.shares()
                    .credit(pool.name())
                    .recordArrival(admitted.work(), shares.admittedFraction(spare));
        }
        boolean credit = state.shares().credit(pool.name()).isAvailable();
        double excess =
                queuedNanos - OverloadAdmission.longestNanos(urgent, beyond, credit, goalMillis);
        return excess > 0
                ? OptionalLong.of(1 + (long) excess / NANOS_PER_MILLI)
                : OptionalLong.empty();
    }

    private boolean isBeyondShare(FairShares shares) {
        return shares.isBeyond(TeamShares.nameOf(admitted.team()));
    }

    /** Records that the prompt is sent to a runner of its pool. */
    void recordSent(RunnerChoice runner, long nowNanos) {
        String pool = admitted.pool().orElseThrow().name();
        if (state.endpoints().adaptivePools().contains(pool)) {
            state.shares().recordSent(pool, admitted.work(), runner.missingTokens());
            if (!urgent && isBeyondShare(state.shares().current(pool, nowNanos))) {
                state.shares().credit(pool).recordSent(admitted.work());
            }
        }
    }
}
