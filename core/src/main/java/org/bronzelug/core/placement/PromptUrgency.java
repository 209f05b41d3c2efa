package org.bronzelug.core.placement;

import java.util.OptionalInt;

/**
 * Maps the ranks of a team and a route to the priority by which runners admit queued prompts.
 *
 * <p>The load it answers: all teams have one rank, and runners prefill long prompts of a less
 * urgent route. Without the route's rank, short urgent prompts queue behind every long one that
 * arrived earlier and miss their goal.
 *
 * <p>Invariant: a team's rank goes before all routes' ranks. Stateless and thread-safe.
 */
public final class PromptUrgency {
    /** The most urgent; 0 stays free. */
    public static final int FIRST = 1;

    public static final int LAST = 9;

    /** Ranks of routes that are distinguished within one rank of teams. */
    private static final int ROUTE_RANKS = 3;

    private PromptUrgency() {}

    /**
     * The urgency between {@link #FIRST} and {@link #LAST}.
     *
     * @param teamRank of the caller's team, 0 first; empty where it has the route's
     * @param routeRank of the route, 0 first
     */
    public static int of(OptionalInt teamRank, int routeRank) {
        int rank = Math.max(0, teamRank.orElse(routeRank));
        int withinRank = Math.clamp(routeRank, 0, ROUTE_RANKS - 1);
        long urgency = FIRST + (long) rank * ROUTE_RANKS + withinRank;
        return (int) Math.min(LAST, urgency);
    }
}
