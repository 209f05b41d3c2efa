package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.rollout.VersionPreference;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * The rollouts of software versions that concern requests now, by pool. Pools without a rollout
 * treat all endpoints alike. Confined to the traffic thread.
 */
public final class RolloutTable {
    private final double exposureShare;
    private final Map<String, PoolRollout> rollouts = new HashMap<>();
    private final Set<String> shiftedPools = new HashSet<>();

    RolloutTable(double exposureShare) {
        this.exposureShare = exposureShare;
    }

    /**
     * Applies an update from the control thread.
     *
     * @return the pools whose current version is to be drained from now on
     */
    Set<String> update(Map<String, RolloutView> views, Collection<EndpointEntry> endpoints) {
        rollouts.keySet().retainAll(views.keySet());
        shiftedPools.retainAll(views.keySet());
        Set<String> newlyShifting = new HashSet<>();
        for (RolloutView view : views.values()) {
            PoolRollout known = rollouts.get(view.pool());
            if (known == null || !known.target().equals(view.target())) {
                known = new PoolRollout(view, exposureShare);
                rollouts.put(view.pool(), known);
                shiftedPools.remove(view.pool());
            }
            known.update(view, endpoints);
            if (view.stage() == RolloutStage.SHIFTING && shiftedPools.add(view.pool())) {
                newlyShifting.add(view.pool());
            }
        }
        return newlyShifting;
    }

    /**
     * Returns which of a pool's endpoints the next request may go to.
     *
     * @param firstAttempt whether the request has not been sent to any endpoint yet
     */
    public VersionPreference preference(String pool, boolean firstAttempt) {
        return Optional.ofNullable(rollouts.get(pool))
                .map(rollout -> rollout.preference(firstAttempt))
                .orElse(VersionPreference.ANY);
    }

    /** Returns whether a request that is meant for the target version may go to an endpoint. */
    public boolean isTarget(EndpointEntry entry) {
        PoolRollout rollout = rollouts.get(entry.pool());
        return rollout == null || rollout.isTarget(entry);
    }

    /** Returns whether a request that is meant for the current version may go to an endpoint. */
    public boolean isCurrent(EndpointEntry entry) {
        PoolRollout rollout = rollouts.get(entry.pool());
        return rollout == null || rollout.isCurrent(entry);
    }

    /** Returns whether a rollout has rolled a version back or suspended its trial. */
    public boolean isWithdrawn(String pool, String softwareVersion) {
        PoolRollout rollout = rollouts.get(pool);
        return rollout != null && rollout.isWithdrawn(softwareVersion);
    }

    /** Returns whether an endpoint has a version that a rollout is about to replace. */
    public boolean isBeingReplaced(EndpointEntry entry) {
        PoolRollout rollout = rollouts.get(entry.pool());
        return rollout != null && rollout.isBeingReplaced(entry);
    }

    /** Records that a request is sent to an endpoint. */
    public void recordSent(EndpointEntry entry) {
        PoolRollout rollout = rollouts.get(entry.pool());
        if (rollout != null) {
            rollout.recordSent(entry);
        }
    }

    /**
     * Records the response of an endpoint.
     *
     * @param failed whether the endpoint failed the request
     * @param millis the response time, relative to the work if that is known
     */
    public void recordResponse(EndpointEntry entry, String route, boolean failed, double millis) {
        PoolRollout rollout = rollouts.get(entry.pool());
        if (rollout != null) {
            rollout.recordResponse(entry, route, failed, millis);
        }
    }

    /** Returns what this VM has seen of each rollout, for its peers. */
    public List<RolloutUse> report() {
        return rollouts.values().stream().map(PoolRollout::report).toList();
    }
}
