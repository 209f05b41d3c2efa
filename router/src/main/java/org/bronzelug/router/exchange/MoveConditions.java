package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.core.poison.PartAdmission;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Decides whether a request may leave an endpoint that still works on it. Confined to the traffic
 * thread.
 */
final class MoveConditions {
    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final EndpointSelection selection;
    private final Attempts attempts;
    private final EndpointRequestBuilder builder;
    private final PartGate gate;
    private final StreamVersion streamVersion;

    MoveConditions(
            TrafficState state,
            AdmittedRequest admitted,
            EndpointSelection selection,
            Attempts attempts,
            EndpointRequestBuilder builder,
            PartGate gate,
            StreamVersion streamVersion) {
        this.state = state;
        this.admitted = admitted;
        this.selection = selection;
        this.attempts = attempts;
        this.builder = builder;
        this.gate = gate;
        this.streamVersion = streamVersion;
    }

    /** Chooses another endpoint before the current attempt is cancelled: there may be none. */
    Optional<EndpointState> chooseOther(RetryKind kind, long nowNanos) {
        boolean possible =
                !builder.isExpired(nowNanos)
                        && admitted.isAdmittedBy(state.stopAdmission(), nowNanos)
                        && gate.admit(nowNanos) instanceof PartAdmission.Allowed;
        return possible ? attempts.chooseForRetry(selection, kind, nowNanos) : Optional.empty();
    }

    /** Returns whether the request should leave an endpoint that drains. */
    boolean leavesDraining(EndpointState current) {
        boolean resumable = admitted.route().retryPolicy() == RetryPolicy.RESUMABLE;
        return resumable && !isBoundToReplacedVersion(current);
    }

    /** Returns whether all endpoints that could continue the stream are about to be replaced. */
    private boolean isBoundToReplacedVersion(EndpointState current) {
        return streamVersion.version().isPresent()
                && state.rollouts().isBeingReplaced(current.entry());
    }
}
