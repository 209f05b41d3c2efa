package org.bronzelug.core.placement;

/** The class of a prompt among the prompts of its pool, by the goal of its route. */
public enum GoalClass {
    /** Prompts of the routes with the shorter goals. */
    TIGHT,
    /** Prompts of the routes with the longer goals; they can wait where the others can't. */
    RELAXED
}
