package org.bronzelug.core.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The two classes into which the goals of a pool's routes fall.
 *
 * <p>Invariant: each goal of the relaxed class is at least {@link #FACTOR} times each goal of the
 * tight class. Immutable.
 *
 * @param longestTightMillis the longest goal of the tight class
 */
public record GoalClasses(long longestTightMillis) {
    /** With goals closer to each other, prompts of both classes can wait for nearly as long. */
    static final double FACTOR = 2;

    /**
     * Returns the classes, which are separated between the two neighbouring goals that differ by
     * the greatest factor; empty if that factor is less than {@link #FACTOR}.
     *
     * @param goalsMillis the goals of the pool's routes; those that are not positive are ignored
     */
    public static Optional<GoalClasses> of(Collection<Long> goalsMillis) {
        double greatest = 0;
        long shorter = 0;
        long longestTight = 0;
        for (long goal : new TreeSet<>(goalsMillis)) {
            if (shorter > 0 && (double) goal / shorter > greatest) {
                greatest = (double) goal / shorter;
                longestTight = shorter;
            }
            shorter = goal;
        }
        return greatest >= FACTOR ? Optional.of(new GoalClasses(longestTight)) : Optional.empty();
    }

    /** Returns the class of a route with the given goal. */
    public GoalClass of(long goalMillis) {
        return goalMillis <= longestTightMillis ? GoalClass.TIGHT : GoalClass.RELAXED;
    }
}
