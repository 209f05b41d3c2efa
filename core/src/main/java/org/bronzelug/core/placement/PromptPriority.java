package org.bronzelug.core.placement;

import java.util.OptionalInt;

/**
 * Maps the ranks of a team and a route to the priority by which runners admit queued prompts.
 *
 * <p>The team's rank takes precedence over the route's. If priorities were by team alone and all
 * teams had the same rank, short urgent prompts would queue behind every earlier long prompt of a
 * less urgent route and miss their target time.
 *
 * <p>Invariant: a prompt of a team with a lower rank never has a less urgent priority than a prompt
 * of a team with a higher rank. Stateless and thread-safe.
 */
public final class PromptPriority {
    /** The most urgent priority; 0 is unused. */
    public static final int MOST_URGENT = 1;

    public static final int LEAST_URGENT = 9;

    /** Number of route ranks that are distinguished within one team rank. */
    private static final int ROUTE_RANKS = 3;

    private PromptPriority() {}

    /**
     * Returns the priority, between {@link #MOST_URGENT} and {@link #LEAST_URGENT}.
     *
     * @param teamRank rank of the caller's team, 0 is the most urgent; empty if the team has none,
     *     so that the route's rank is used instead
     * @param routeRank rank of the route, 0 is the most urgent
     */
    public static int of(OptionalInt teamRank, int routeRank) {
        int rank = Math.max(0, teamRank.orElse(routeRank));
        int withinRank = Math.clamp(routeRank, 0, ROUTE_RANKS - 1);
        long priority = MOST_URGENT + (long) rank * ROUTE_RANKS + withinRank;
        return (int) Math.min(LEAST_URGENT, priority);
    }
}
