package org.bronzelug.core.limit;

/** The request rate limit that a response advertises for its endpoint. Immutable. */
public sealed interface AdvertisedLimit {
    /** The endpoint advertises no limit; a limit that it advertised before has ended. */
    record None() implements AdvertisedLimit {}

    /**
     * The endpoint limits the rate of the requests of all VMs together.
     *
     * @param requestsPerSecond 0 or more, finite
     */
    record Rate(double requestsPerSecond) implements AdvertisedLimit {}

    /**
     * The limit in the response is malformed; the previous limit stays in force.
     *
     * @param text the limit as received
     */
    record Malformed(String text) implements AdvertisedLimit {}
}
