package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * The prefill of one request's prompt at the runner that it is sent to: what the runner's load
 * counts, and what is learnt when the first token comes.
 *
 * <p>Invariant: tokens that were counted as queued at a runner are taken off once, at the first
 * token or when the request leaves. Without a prompt nothing is counted. Confined to the traffic
 * thread.
 */
final class PrefillProgress {
    private final TrafficState state;
    private final AdmittedRequest admitted;
    private Optional<RunnerChoice> runner = Optional.empty();
    private boolean queued;
    private long sentNanos;

    PrefillProgress(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /** The request is sent to a runner, or to an endpoint without a prompt. */
    void begin(Optional<RunnerChoice> choice, long nowNanos) {
        runner = choice;
        sentNanos = nowNanos;
        queued = choice.isPresent();
        choice.ifPresent(chosen -> chosen.endpoint().load().begin(chosen.missingTokens()));
    }

    /** The runner that the request was sent to last, where its prompt is prefilled. */
    Optional<RunnerChoice> runner() {
        return runner;
    }

    /** The head of an answer shows which weights the runner has. */
    void answered(EndpointState answering, EndpointResponse answer) {
        if (runner.isPresent()) {
            String model = model();
            answer.weightsVersion().ifPresent(version -> answering.recordWeights(model, version));
        }
    }

    /**
     * Bytes of the answer have come: at the first ones the prompt has been prefilled.
     *
     * @param wholePrompt whether the time to the first token tells how fast the runner reads
     * @param saving whether the runner was told to save what it reads
     */
    void received(boolean wholePrompt, boolean saving, long nowNanos) {
        if (!queued) {
            return;
        }
        queued = false;
        RunnerChoice choice = runner.orElseThrow();
        choice.endpoint().load().prefilled(choice.missingTokens());
        if (wholePrompt) {
            state.choice().recordPrefillTime(choice, sentNanos, nowNanos);
        }
        state.choice().recordRead(choice, model(), saving, nowNanos);
    }

    /** The request leaves the runner. */
    void end() {
        runner.ifPresent(
                choice -> {
                    if (queued) {
                        choice.endpoint().load().prefilled(choice.missingTokens());
                    }
                    choice.endpoint().load().end();
                });
        queued = false;
    }

    private String model() {
        return admitted.head().prompt().orElseThrow().model();
    }
}
