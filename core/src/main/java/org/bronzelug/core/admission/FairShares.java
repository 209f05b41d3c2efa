package org.bronzelug.core.admission;

import java.util.Arrays;
import java.util.Map;

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

    private static final FairShares UNLIMITED = new FairShares(Map.of(), Double.MAX_VALUE);

    private final Map<String, Double> requested;
    private final double share;

    private FairShares(Map<String, Double> requested, double share) {
        this.requested = requested;
        this.share = share;
    }

    /** Returns the shares as they are without an overload: no team is beyond its own. */
    public static FairShares unlimited() {
        return UNLIMITED;
    }

    /**
     * Computes the shares.
     *
     * @param requested work that each team has requested recently
     * @param accepted work of all teams together that was accepted in the same time
     */
    public static FairShares of(Map<String, Double> requested, double accepted) {
        double[] amounts = requested.values().stream().mapToDouble(Double::doubleValue).toArray();
        double remaining = accepted;
        if (remaining >= ACCEPTED_FRACTION * Arrays.stream(amounts).sum()) {
            return UNLIMITED;
        }
        Arrays.sort(amounts);
        for (int index = 0; index < amounts.length; index++) {
            double equal = remaining / (amounts.length - index);
            if (amounts[index] >= equal) {
                return new FairShares(Map.copyOf(requested), equal);
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
}
