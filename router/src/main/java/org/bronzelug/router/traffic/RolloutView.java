package org.bronzelug.router.traffic;

import java.util.Map;
import org.bronzelug.core.rollout.RolloutStage;

/**
 * A rollout as the control thread sees it. Immutable.
 *
 * @param pool the pool whose traffic moves
 * @param target the software version that it moves to
 * @param stage how far the rollout has come
 * @param open whether this VM may send requests to a version on trial
 * @param ageMillis since the order was first seen by any VM
 * @param meanMillis mean response time of the current version on each route, over the fleet
 */
public record RolloutView(
        String pool,
        String target,
        RolloutStage stage,
        boolean open,
        long ageMillis,
        Map<String, Double> meanMillis) {
    public RolloutView {
        meanMillis = Map.copyOf(meanMillis);
    }
}
