package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the endpoint of a request that relies on no cache: the one with the fewest requests for
 * each of its slots, one of this availability zone before others. Stateless and thread-safe.
 */
public final class LeastLoad {
    private LeastLoad() {}

    /** The best of the candidates; empty where there is none. */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream()
                .min(
                        Comparator.comparing(Candidate::suspect)
                                .thenComparing(Candidate::isFull)
                                .thenComparing(candidate -> !candidate.sameZone())
                                .thenComparingDouble(Candidate::load)
                                .thenComparing(Candidate::endpoint));
    }

    /**
     * An endpoint that may take the request.
     *
     * @param endpoint its id
     * @param sameZone whether it runs in this VM's availability zone
     * @param suspect whether it failed lately
     * @param requests under way there, of all VMs as far as known
     * @param slots that it serves at once; at least 1
     */
    public record Candidate(
            String endpoint, boolean sameZone, boolean suspect, int requests, int slots) {
        double load() {
            return (double) requests / slots;
        }

        /** More than half taken: counts of other VMs lag, and bursts fill the rest. */
        boolean isFull() {
            return requests * 2 >= slots;
        }
    }
}
