package org.bronzelug.router.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * How long the weights of models have been replaced by newer ones, and until when requests may
 * begin on them. Confined to the traffic thread.
 */
public final class WeightsAges {
    private final long boundNanos;
    private Map<String, WeightsTarget> targets = Map.of();

    /**
     * @param boundNanos how long after a version is published requests may begin on older weights
     */
    WeightsAges(long boundNanos) {
        this.boundNanos = boundNanos;
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

    private OptionalLong replacedSinceNanos(String model, long version) {
        return target(model)
                .map(target -> target.behindSinceNanos(version))
                .orElseGet(OptionalLong::empty);
    }
}
