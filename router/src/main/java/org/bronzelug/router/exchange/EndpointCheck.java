package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Checks whether a request may still be sent to, or wait at, the endpoint that was chosen for it:
 * much can change while a connection is opened. Confined to the traffic thread.
 */
final class EndpointCheck {
    static final String WEIGHTS_EXPIRED = "no request may begin on the endpoint's weights any more";

    static final String QUARANTINED = "parts of the prompt crash endpoints";

    static final String ENDS = "several endpoints have ended under this request";

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final PartGate gate;

    EndpointCheck(TrafficState state, AdmittedRequest admitted, PartGate gate) {
        this.state = state;
        this.admitted = admitted;
        this.gate = gate;
    }

    /**
     * Returns why the request may not be sent to the endpoint on the connection that is open for
     * it; empty if it may.
     */
    Optional<String> obstacle(EndpointState endpoint, long nowNanos) {
        if (!isListed(endpoint)) {
            return Optional.of("endpoint has left");
        }
        if (!endpoint.isAvailableOnOpenConnection(nowNanos)) {
            return Optional.of("endpoint accepts no more requests");
        }
        if (gate.isQuarantined(nowNanos)) {
            return Optional.of("the request may crash endpoints");
        }
        return mayWaitAt(endpoint, nowNanos) ? Optional.empty() : Optional.of(WEIGHTS_EXPIRED);
    }

    /** Returns whether the endpoint is still in use, with the same start. */
    private boolean isListed(EndpointState endpoint) {
        return state.endpoints()
                .find(endpoint.entry().id())
                .filter(listed -> listed == endpoint)
                .isPresent();
    }

    /** Returns whether the request may begin on the weights of the endpoint. */
    boolean mayWaitAt(EndpointState endpoint, long nowNanos) {
        Optional<String> model = admitted.head().prompt().map(PromptSpec::model);
        return state.weightsAges().mayWait(endpoint, model, nowNanos);
    }
}
