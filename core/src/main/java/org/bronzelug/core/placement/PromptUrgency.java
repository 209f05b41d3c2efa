package org.bronzelug.core.placement;

import java.util.OptionalInt;

/**
 * The order in which a runner admits prompts that wait there.
 *
 * <p>The load it answers: runners are full of long prompts of a less urgent route, whose teams have
 * the same rank as everybody else's. Without the route's rank a short urgent prompt waits for each
 * long one that came before it, and misses its goal though it needs little time itself.
 *
 * <p>Invariant: a team's rank goes before all routes' ranks. Stateless and thread-safe.
 */
public final class PromptUrgency {
    /** The most urgent; 0 stays free. */
    public static final int FIRST = 1;

    public static final int LAST = 9;

    /** Ranks of routes that are told apart within one rank of teams. */
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
