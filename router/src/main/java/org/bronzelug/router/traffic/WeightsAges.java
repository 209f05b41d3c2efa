package org.bronzelug.router.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * How long the weights of models have been replaced by newer ones, and until when requests may
 * begin on them. Confined to the traffic thread.
 */
public final class WeightsAges {
    /**
     * How long before the bound requests that wait at an endpoint are withdrawn: the time until the
     * endpoint has noticed it.
     */
    private static final long WITHDRAWAL_NANOS = 200_000_000L;

    /** Least time that a request is reckoned to wait at an endpoint until it begins. */
    static final long MINIMUM_WAIT_NANOS = 800_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long boundNanos;
    private Map<String, WeightsTarget> targets = Map.of();

    /**
     * @param boundNanos how long after a version is published requests may begin on older weights
     */
    WeightsAges(long boundNanos) {
        this.boundNanos = boundNanos;
    }

    /**
     * Returns for how long an endpoint gets requests after its weights are replaced.
     *
     * @param boundMillis how long requests may begin on the weights
     */
    public static long usableMillis(long boundMillis) {
        return Math.max(0, boundMillis - (WITHDRAWAL_NANOS + MINIMUM_WAIT_NANOS) / NANOS_PER_MILLI);
    }

    void update(Map<String, WeightsTarget> newTargets) {
        targets = newTargets;
    }

    /** Returns the published target versions of a model's weights. */
    Optional<WeightsTarget> target(String model) {
        return Optional.ofNullable(targets.get(model));
    }

    /** Returns for how long a version has been replaced; empty if it is the newest known one. */
    public OptionalLong replacedNanos(String model, long version, long nowNanos) {
        OptionalLong since = replacedSinceNanos(model, version);
        return since.isPresent()
                ? OptionalLong.of(nowNanos - since.getAsLong())
                : OptionalLong.empty();
    }

    /**
     * Returns the time until which requests may begin on a version, by the local monotonic clock;
     * empty if it is the newest known one.
     */
    public OptionalLong latestBeginNanos(String model, long version) {
        OptionalLong since = replacedSinceNanos(model, version);
        return since.isPresent()
                ? OptionalLong.of(since.getAsLong() + boundNanos)
                : OptionalLong.empty();
    }

    /**
     * Returns the times for which requests may still wait at an endpoint to begin on its weights,
     * one for each model whose weights there have been replaced.
     */
    LongStream remainingNanos(EndpointState endpoint, long nowNanos) {
        return endpoint.entry().weights().keySet().stream()
                .map(model -> remainingNanos(endpoint, model, nowNanos))
                .flatMapToLong(OptionalLong::stream);
    }

    private OptionalLong remainingNanos(EndpointState endpoint, String model, long nowNanos) {
        OptionalLong latest = latestBeginNanos(model, endpoint.weights(model));
        return latest.isPresent()
                ? OptionalLong.of(latest.getAsLong() - WITHDRAWAL_NANOS - nowNanos)
                : OptionalLong.empty();
    }

    /**
     * Returns whether a request that has not begun may wait at an endpoint.
     *
     * @param model the request's model; empty if it is not known, so that any may be meant
     */
    public boolean mayWait(EndpointState endpoint, Optional<String> model, long nowNanos) {
        return mayWait(endpoint, model, 0, nowNanos);
    }

    /** Returns whether a request may wait at an endpoint for some time from now on. */
    boolean mayWait(
            EndpointState endpoint, Optional<String> model, double waitNanos, long nowNanos) {
        OptionalLong remaining =
                model.map(name -> remainingNanos(endpoint, name, nowNanos))
                        .orElseGet(() -> remainingNanos(endpoint, nowNanos).min());
        return remaining.isEmpty() || remaining.getAsLong() > waitNanos;
    }

    private OptionalLong replacedSinceNanos(String model, long version) {
        return target(model)
                .map(target -> target.replacedSinceNanos(version))
                .orElseGet(OptionalLong::empty);
    }
}
