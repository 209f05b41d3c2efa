package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.router.endpoint.EndpointResponse;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * When a request was last written to an endpoint, and when and on which weights its response began.
 * A response counts as begun with the first bytes of its body. Confined to the traffic thread.
 */
final class ResponseStart {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final RouterMetrics metrics;
    private final AdmittedRequest admitted;
    private OptionalLong writtenNanos = OptionalLong.empty();
    private OptionalLong headNanos = OptionalLong.empty();
    private OptionalLong firstDataNanos = OptionalLong.empty();
    private OptionalLong reportedVersion = OptionalLong.empty();
    private OptionalLong replacedNanos = OptionalLong.empty();

    ResponseStart(TrafficState state, RouterMetrics metrics, AdmittedRequest admitted) {
        this.state = state;
        this.metrics = metrics;
        this.admitted = admitted;
    }

    void recordWritten(long nowNanos) {
        writtenNanos = OptionalLong.of(nowNanos);
    }

    /** Records the last head of a response, and the version of the weights that it reports. */
    void recordHead(EndpointResponse head, long nowNanos) {
        headNanos = OptionalLong.of(nowNanos);
        reportedVersion = head.weightsVersion();
    }

    /**
     * Records that bytes of the response body have arrived.
     *
     * @param runner the choice of the runner; empty for requests without a prompt
     */
    void recordData(Optional<RunnerChoice> runner, long nowNanos) {
        if (firstDataNanos.isPresent()) {
            return;
        }
        firstDataNanos = OptionalLong.of(nowNanos);
        runner.ifPresent(choice -> recordWeights(choice, nowNanos));
    }

    private void recordWeights(RunnerChoice choice, long nowNanos) {
        String model = admitted.head().prompt().orElseThrow().model();
        long version = reportedVersion.orElse(choice.weightsVersion());
        replacedNanos = state.weightsAges().replacedNanos(model, version, nowNanos);
        OptionalLong latestNanos = state.weightsAges().latestBeginNanos(model, version);
        if (latestNanos.isPresent()) {
            metrics.begunOnReplacedWeights(
                    replacedNanos.orElseThrow() / NANOS_PER_MILLI,
                    nowNanos - latestNanos.getAsLong() > 0);
        }
    }

    /** Records that the caller's response is complete. */
    void recordComplete(long nowNanos) {
        state.stopAdmission()
                .recordDuration(admitted.route().name(), nowNanos - admitted.arrivedNanos());
    }

    boolean hasBegun() {
        return firstDataNanos.isPresent();
    }

    /** Returns the times since the request arrived, and the weights, as fields of a log line. */
    String describe() {
        return (" writtenMillis=" + millis(writtenNanos))
                + (" headMillis=" + millis(headNanos))
                + (" firstMillis=" + millis(firstDataNanos))
                + (" reportedWeights=" + text(reportedVersion))
                + (" replacedMillis="
                        + (replacedNanos.isPresent()
                                ? replacedNanos.getAsLong() / NANOS_PER_MILLI
                                : "-"));
    }

    private String millis(OptionalLong nanos) {
        return nanos.isPresent()
                ? String.valueOf((nanos.getAsLong() - admitted.arrivedNanos()) / NANOS_PER_MILLI)
                : "-1";
    }

    private static String text(OptionalLong number) {
        return number.isPresent() ? String.valueOf(number.getAsLong()) : "-";
    }
}
