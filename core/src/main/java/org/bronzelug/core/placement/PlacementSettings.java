package org.bronzelug.core.placement;

/**
 * The costs that placement reckons with.
 *
 * @param nanosPerPrefillToken time to prefill one missing token
 * @param nanosPerRunningStream what a stream in generation adds to the time to a first token
 * @param missingTokenWeight how much a token missing in the cache counts, against one that waits:
 *     above 1, since a second copy of a prefix also pushes another one out
 * @param tokensPerWaitingRequest a queue of so many tokens is taken for one waiting request, which
 *     each missing token in front of it delays
 */
public record PlacementSettings(
        double nanosPerPrefillToken,
        double nanosPerRunningStream,
        double missingTokenWeight,
        double tokensPerWaitingRequest) {
    /** As found best by {@code ./measure}: docs/MEASUREMENTS.md. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(100_000, 1_000_000, 2, 1_000);
    }
}
