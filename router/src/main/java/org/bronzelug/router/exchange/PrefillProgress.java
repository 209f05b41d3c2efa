package org.bronzelug.router.exchange;

import java.util.Optional;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Tracks the prefill of one request's prompt at its current runner: adds the prompt to the runner's
 * load, and updates the prefill rate and the cache estimate when the first token arrives.
 *
 * <p>Invariant: tokens that were added to a runner's queued load are removed once, at the first
 * token or when the request leaves the runner. A request without a prompt adds no load. Confined to
 * the traffic thread.
 */
final class PrefillProgress {
    /** Time to the first token of a prompt without anything to prefill. */
    private static final double FIXED_PROMPT_NANOS = 30_000_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private Optional<RunnerChoice> runner = Optional.empty();
    private boolean queued;
    private boolean successful;
    private long sentNanos;

    PrefillProgress(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /**
     * Records that the request is sent.
     *
     * @param choice the choice of the runner; empty for requests without a prompt
     */
    void begin(Optional<RunnerChoice> choice, long nowNanos) {
        runner = choice;
        sentNanos = nowNanos;
        successful = false;
        queued = choice.isPresent();
        choice.ifPresent(chosen -> chosen.endpoint().load().recordSent(chosen.missingTokens()));
    }

    /** Returns the runner that the prompt was sent to last; empty for requests without a prompt. */
    Optional<RunnerChoice> runner() {
        return runner;
    }

    /** Records the version of the runner's weights that the head of its response reports. */
    void recordHead(EndpointState responding, EndpointResponse head) {
        if (runner.isPresent()) {
            String model = model();
            head.weightsVersion().ifPresent(version -> responding.recordWeights(model, version));
        }
    }

    /**
     * Records an endpoint's own response for the comparison of software versions, and as a sample
     * of the endpoint's speed if it has no prompt. The response time of a prompt is taken in
     * percent of the time that it was expected to wait and be prefilled, so that an endpoint
     * without cached prefixes does not look slow.
     */
    void recordResponse(EndpointState responding, EndpointResponse head, long elapsedNanos) {
        double expectedNanos =
                runner.map(choice -> state.choice().expectedNanos(choice)).orElse(0.0);
        double millis = (double) elapsedNanos / NANOS_PER_MILLI;
        double relativeMillis =
                runner.isEmpty()
                        ? millis
                        : 100 * elapsedNanos / (FIXED_PROMPT_NANOS + expectedNanos);
        state.rollouts()
                .recordResponse(
                        responding.entry(),
                        admitted.route().name(),
                        head.isServerError(),
                        relativeMillis);
        successful = head.isSuccess();
        if (runner.isEmpty() && successful) {
            state.speedSamples()
                    .recordResponse(
                            responding,
                            admitted.route().name(),
                            elapsedNanos,
                            sentNanos + elapsedNanos);
        }
    }

    /**
     * Records that bytes of the response body have arrived; the first ones show that the prompt has
     * been prefilled.
     *
     * @param wholePrompt whether the runner prefilled the whole prompt, so that the time to the
     *     first token is a sample of its prefill rate
     * @param saving whether the request told the runner to save the prompt's prefix
     */
    void recordData(boolean wholePrompt, boolean saving, long nowNanos) {
        if (!queued) {
            return;
        }
        queued = false;
        RunnerChoice choice = runner.orElseThrow();
        choice.endpoint().load().recordPrefilled(choice.missingTokens());
        if (wholePrompt) {
            state.choice().recordPrefillTime(choice, sentNanos, nowNanos);
        }
        if (successful) {
            String route = admitted.route().name();
            state.speedSamples().recordFirstToken(choice, route, nowNanos - sentNanos, nowNanos);
        }
        state.choice().recordRead(choice, model(), saving, nowNanos);
    }

    /** Records that the request leaves the endpoint. */
    void end() {
        long nowNanos = System.nanoTime();
        admitted.pool()
                .ifPresent(
                        pool ->
                                state.choice()
                                        .speeds()
                                        .recordEnded(pool.name(), nowNanos - sentNanos, nowNanos));
        runner.ifPresent(
                choice -> {
                    if (queued) {
                        choice.endpoint().load().recordPrefilled(choice.missingTokens());
                    }
                    choice.endpoint().load().recordEnded();
                });
        queued = false;
    }

    private String model() {
        return admitted.head().prompt().orElseThrow().model();
    }
}
