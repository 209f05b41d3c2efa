package org.bronzelug.core.placement;

/**
 * The costs that placement reckons with.
 *
 * @param nanosPerPrefillToken time to prefill one missing token
 * @param nanosPerRunningStream what a stream in generation adds to the time to a first token
 */
public record PlacementSettings(double nanosPerPrefillToken, double nanosPerRunningStream) {
    /** As measured against the stand-in: docs/MEASUREMENTS.md. */
    public static PlacementSettings defaults() {
        return new PlacementSettings(100_000, 1_000_000);
    }
}
