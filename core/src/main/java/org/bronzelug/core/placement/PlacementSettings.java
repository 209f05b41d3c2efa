package org.bronzelug.core.placement;

/**
 * Costs by which {@link PlacementPolicy} compares runners. Immutable.
 *
 * @param nanosPerPrefillToken time to prefill one token
 * @param nanosPerRunningStream increase of the time to the first token by each stream that the
 *     runner is generating
 * @param missingTokenWeight cost of a token missing from the cache, relative to a queued token,
 *     while queues are empty; above 1, since a second copy of a prefix also evicts another prefix
 * @param tokensPerWaitingRequest queued tokens that count as one waiting request; each missing
 *     token delays all requests that wait behind it
 */
public record PlacementSettings(
        double nanosPerPrefillToken,
        double nanosPerRunningStream,
        double missingTokenWeight,
        double tokensPerWaitingRequest) {
    /** Returns the values with the best results in {@code ./measure} (docs/MEASUREMENTS.md). */
    public static PlacementSettings defaults() {
        return new PlacementSettings(100_000, 1_000_000, 2, 1_000);
    }
}
