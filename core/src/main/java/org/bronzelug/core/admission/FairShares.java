package org.bronzelug.core.admission;

import java.util.Arrays;
import java.util.Map;
import java.util.function.DoublePredicate;

/**
 * Compares the work that each team requests with its fair share of the work that is accepted.
 *
 * <p>The share is max-min fair: the accepted work is divided such that no team gets more than it
 * requests, and all that get less get the same. Teams that request less than that are within their
 * share and should lose nothing because of the others. While nearly all that is requested is
 * accepted, no team is beyond its share.
 *
 * <p>Immutable.
 */
public final class FairShares {
    /** Requests that were rejected a moment ago may have been accepted since. */
    private static final double ACCEPTED_FRACTION = 0.95;

    private static final FairShares UNLIMITED = new FairShares(Map.of(), Double.MAX_VALUE, 0);

    private final Map<String, Double> requested;
    private final double share;
    private final double accepted;
    private final double within;
    private final double beyond;

    private FairShares(Map<String, Double> requested, double share, double accepted) {
        this.requested = requested;
        this.share = share;
        this.accepted = accepted;
        this.within = sum(requested, amount -> amount <= share);
        this.beyond = sum(requested, amount -> amount > share);
    }

    private static double sum(Map<String, Double> requested, DoublePredicate counted) {
        return requested.values().stream().mapToDouble(Double::doubleValue).filter(counted).sum();
    }

    /** Returns the shares as they are without an overload: no team is beyond its own. */
    public static FairShares unlimited() {
        return UNLIMITED;
    }

    /**
     * Computes the shares.
     *
     * @param requested work that each team has requested recently
     * @param sent work of all teams together that was sent to endpoints in the same time
     * @param capacity work that the endpoints can do in that time; more is sent in the first
     *     moments of an overload, and waits in their queues
     */
    public static FairShares of(Map<String, Double> requested, double sent, double capacity) {
        double[] amounts = requested.values().stream().mapToDouble(Double::doubleValue).toArray();
        double accepted = Math.min(sent, capacity);
        double remaining = accepted;
        if (remaining >= ACCEPTED_FRACTION * Arrays.stream(amounts).sum()) {
            return UNLIMITED;
        }
        Arrays.sort(amounts);
        for (int index = 0; index < amounts.length; index++) {
            double equal = remaining / (amounts.length - index);
            if (amounts[index] >= equal) {
                return new FairShares(Map.copyOf(requested), equal, accepted);
            }
            remaining -= amounts[index];
        }
        return UNLIMITED;
    }

    /**
     * Returns whether a team requests more than its fair share; never if nothing is known of it.
     */
    public boolean isBeyond(String team) {
        return requested.getOrDefault(team, 0.0) > share;
    }

    /**
     * Returns the fraction of the requests of the teams beyond their share for which there is room,
     * beside all requests of the other teams.
     *
     * @param spare queue that may be added, as a fraction of the work that is accepted in the time
     *     after which VMs know of each other's requests; negative if the queue is too long
     */
    public double admittedFraction(double spare) {
        if (beyond <= 0) {
            return 1;
        }
        return Math.max(0, (accepted * (1 + spare) - within) / beyond);
    }
}
