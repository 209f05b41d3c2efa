package org.bronzelug.core.rollout;

import java.util.Optional;

/**
 * An order of the operators to move a pool's traffic to another software version. Immutable.
 *
 * @param pool the pool whose traffic is to move
 * @param target the software version that it is to move to
 * @param durationMillis time limit, counted from the order
 * @param writtenStage the stage that a VM has written for this target; empty if none has
 * @param name of the object that holds the order
 * @param revision of that object
 */
public record RolloutOrder(
        String pool,
        String target,
        long durationMillis,
        Optional<RolloutStage> writtenStage,
        String name,
        long revision) {}
