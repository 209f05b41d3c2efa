package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the endpoint for a request that does not benefit from a cache.
 *
 * <p>Endpoints that failed recently come last, then those with at least half of their slots taken.
 * Among the rest, endpoints in this VM's availability zone come first, then those with the fewest
 * requests per slot.
 *
 * <p>In a pool whose endpoints' speeds are measured, the choice is by the load relative to the
 * speed instead, and random among endpoints with nearly the same load ({@link #chooseBySpeed}).
 *
 * <p>Stateless and thread-safe.
 */
public final class LeastLoad {
    /**
     * Loads nearly the same as the lowest: up to this multiple of it. With smaller multiples, VMs
     * that know each other's requests late all choose the same few endpoints.
     */
    private static final double NEAR_MULTIPLE = 4;

    /** Extra cost of an endpoint in another availability zone, as a fraction of its load. */
    private static final double OTHER_ZONE_COST = 0.1;

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
     * Returns the endpoint with the lower load of two random ones among those whose loads are
     * nearly the lowest; empty if there are no candidates.
     *
     * <p>Suspect endpoints come last, then full ones. Without the random draws, VMs that know of no
     * request of each other would all choose the same endpoint. An endpoint is drawn in proportion
     * to the work that it completes in a time.
     *
     * @param firstDraw random number, uniform in [0, 1)
     * @param secondDraw another one
     */
    public static Optional<Candidate> chooseBySpeed(
            Collection<Candidate> candidates, double firstDraw, double secondDraw) {
        Comparator<Candidate> order =
                Comparator.comparing(Candidate::suspect)
                        .thenComparing(Candidate::isFull)
                        .thenComparingDouble(Candidate::loadBySpeed)
                        .thenComparing(Candidate::endpoint);
        Optional<Candidate> best = candidates.stream().min(order);
        if (best.isEmpty()) {
            return best;
        }
        double highestLoad = best.get().loadBySpeed() * NEAR_MULTIPLE;
        List<Candidate> near =
                candidates.stream()
                        .filter(candidate -> candidate.suspect() == best.get().suspect())
                        .filter(candidate -> candidate.isFull() == best.get().isFull())
                        .filter(candidate -> candidate.loadBySpeed() <= highestLoad)
                        .sorted(Comparator.comparing(Candidate::endpoint))
                        .toList();
        Candidate first = draw(near, firstDraw);
        Candidate second = draw(near, secondDraw);
        return Optional.of(first.loadBySpeed() <= second.loadBySpeed() ? first : second);
    }

    /** Draws a candidate with a probability in proportion to its capacity. */
    private static Candidate draw(List<Candidate> candidates, double draw) {
        double remaining = draw * candidates.stream().mapToDouble(Candidate::capacity).sum();
        for (Candidate candidate : candidates) {
            remaining -= candidate.capacity();
            if (remaining < 0) {
                return candidate;
            }
        }
        return candidates.getLast();
    }

    /**
     * An endpoint that can serve the request.
     *
     * @param endpoint the endpoint's id
     * @param sameZone whether the endpoint runs in this VM's availability zone
     * @param suspect whether the endpoint failed recently
     * @param requests requests of all VMs that are known to be in flight at the endpoint
     * @param slots requests that the endpoint serves concurrently; at least 1
     * @param speed the endpoint's speed relative to its pool; 1 if it is not measured
     */
    public record Candidate(
            String endpoint,
            boolean sameZone,
            boolean suspect,
            int requests,
            int slots,
            double speed) {
        /** A candidate whose speed is not measured. */
        public Candidate(
                String endpoint, boolean sameZone, boolean suspect, int requests, int slots) {
            this(endpoint, sameZone, suspect, requests, slots, 1);
        }

        double capacity() {
            return slots * speed;
        }

        boolean isFull() {
            return requests >= slots;
        }

        /** Returns the load with one more request, in terms of the time to serve it. */
        double loadBySpeed() {
            return (requests + 1) / capacity() * (sameZone ? 1 : 1 + OTHER_ZONE_COST);
        }

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
