package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the endpoint for a request that does not benefit from a cache.
 *
 * <p>Endpoints that failed recently come last, then those with at least half of their slots taken.
 * Among the rest, endpoints in this VM's availability zone come first, then those with the fewest
 * requests per slot. Stateless and thread-safe.
 */
public final class LeastLoad {
    private LeastLoad() {}

    /** Returns the best candidate; empty if there are no candidates. */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream()
                .min(
                        Comparator.comparing(Candidate::suspect)
                                .thenComparing(Candidate::isHalfFull)
                                .thenComparing(candidate -> !candidate.sameZone())
                                .thenComparingDouble(Candidate::load)
                                .thenComparing(Candidate::endpoint));
    }

    /**
     * An endpoint that can serve the request.
     *
     * @param endpoint the endpoint's id
     * @param sameZone whether the endpoint runs in this VM's availability zone
     * @param suspect whether the endpoint failed recently
     * @param requests requests of all VMs that are known to be in flight at the endpoint
     * @param slots requests that the endpoint serves concurrently; at least 1
     */
    public record Candidate(
            String endpoint, boolean sameZone, boolean suspect, int requests, int slots) {
        double load() {
            return (double) requests / slots;
        }

        /**
         * Returns whether at least half of the slots are taken. The other half is left for bursts
         * and for requests of other VMs, whose counts arrive with a delay.
         */
        boolean isHalfFull() {
            return requests * 2 >= slots;
        }
    }
}
