package org.bronzelug.core.limit;

/** What an answer says of the rate at which its endpoint takes requests. Immutable. */
public sealed interface AdvertisedLimit {
    /** The endpoint names no limit: one that it named before has ended. */
    record None() implements AdvertisedLimit {}

    /**
     * The endpoint takes so many requests from all VMs together.
     *
     * @param requestsPerSecond 0 or more, finite
     */
    record Rate(double requestsPerSecond) implements AdvertisedLimit {}

    /**
     * The answer names no usable limit: what was known before holds on.
     *
     * @param text as it was named
     */
    record Malformed(String text) implements AdvertisedLimit {}
}
