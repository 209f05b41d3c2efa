package org.bronzelug.router.traffic;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzelug.api.fleet.v1.EndpointResponses;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.api.fleet.v1.RouteResponses;
import org.bronzelug.core.membership.Rendezvous;
import org.bronzelug.core.rollout.Exposure;
import org.bronzelug.core.rollout.ResponseCounts;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.core.rollout.VersionPreference;
import org.bronzelug.core.routing.EndpointEntry;

/**
 * The part of one rollout that one VM's requests take: which version each request may go to, and
 * what the responses of both versions were like. Confined to the traffic thread.
 */
final class PoolRollout {
    /** A response that takes this many times the current version's mean time is bad. */
    private static final double SLOW_MULTIPLE = 3;

    /** Shorter mean times count as this: delays within a loaded VM last several milliseconds. */
    private static final double MINIMUM_MEAN_MILLIS = 10;

    /** Endpoints on trial at least: one that is faulty must not be taken for its version. */
    private static final int MINIMUM_TRIAL_ENDPOINTS = 3;

    private final String target;
    private final double exposureShare;
    private final Exposure exposure;
    private final Map<String, ResponseCounts> routes = new HashMap<>();
    private final Map<String, EndpointResponses> endpoints = new HashMap<>();
    private RolloutView view;
    private Set<String> trialEndpoints = Set.of();
    private boolean currentSeen;

    PoolRollout(RolloutView view, double exposureShare) {
        this.view = view;
        this.target = view.target();
        this.exposureShare = exposureShare;
        this.exposure = new Exposure(exposureShare);
    }

    String target() {
        return target;
    }

    /** Applies an update from the control thread. */
    void update(RolloutView newer, Collection<EndpointEntry> listed) {
        view = newer;
        currentSeen |=
                listed.stream()
                        .anyMatch(entry -> entry.pool().equals(view.pool()) && isCurrent(entry));
        List<String> targets =
                listed.stream()
                        .filter(entry -> entry.pool().equals(view.pool()) && hasTarget(entry))
                        .filter(entry -> !entry.draining())
                        .map(EndpointEntry::id)
                        .toList();
        // The trial's requests go to as large a part of the endpoints as they are of the traffic,
        // so that a version that fails under load only has that load.
        long count = Math.max(MINIMUM_TRIAL_ENDPOINTS, Math.round(exposureShare * targets.size()));
        trialEndpoints =
                Set.copyOf(Rendezvous.order(target, targets).stream().limit(count).toList());
    }

    private boolean hasTarget(EndpointEntry entry) {
        return entry.softwareVersion().equals(target);
    }

    /**
     * Returns where the next request may go.
     *
     * @param firstAttempt whether the request has not been sent to any endpoint yet
     */
    VersionPreference preference(boolean firstAttempt) {
        return switch (view.stage()) {
            case TRIAL -> {
                if (!currentSeen) {
                    // The target version is what runs: there is nothing to protect requests from.
                    yield VersionPreference.ANY;
                }
                boolean exposed = firstAttempt && view.open() && exposure.mayExpose();
                yield exposed ? VersionPreference.TARGET_FIRST : VersionPreference.CURRENT_ONLY;
            }
            case SHIFTING, SUCCEEDED -> VersionPreference.TARGET_FIRST;
            case ROLLED_BACK -> VersionPreference.CURRENT_ONLY;
        };
    }

    /** Returns whether a request that is meant for the target version may go to an endpoint. */
    boolean isTarget(EndpointEntry entry) {
        boolean trial = view.stage() == RolloutStage.TRIAL;
        return hasTarget(entry) && (!trial || trialEndpoints.contains(entry.id()));
    }

    /** Returns whether an endpoint has the current version, or any other than the target. */
    boolean isCurrent(EndpointEntry entry) {
        return !hasTarget(entry);
    }

    /** Returns whether a version is the target and may get no requests any more. */
    boolean isWithdrawn(String softwareVersion) {
        boolean suspended = view.stage() == RolloutStage.TRIAL && currentSeen && !view.open();
        return softwareVersion.equals(target)
                && (suspended || view.stage() == RolloutStage.ROLLED_BACK);
    }

    /** Returns whether an endpoint has the version that the target replaces from now on. */
    boolean isBeingReplaced(EndpointEntry entry) {
        boolean shifting =
                view.stage() == RolloutStage.SHIFTING || view.stage() == RolloutStage.SUCCEEDED;
        return shifting && isCurrent(entry);
    }

    void recordSent(EndpointEntry entry) {
        exposure.recordSent(hasTarget(entry));
    }

    /**
     * Records a response.
     *
     * @param failed whether the endpoint failed the request
     * @param millis the response time, relative to the work if that is known
     */
    void recordResponse(EndpointEntry entry, String route, boolean failed, double millis) {
        double mean = view.meanMillis().getOrDefault(route, Double.POSITIVE_INFINITY);
        boolean bad = failed || millis > SLOW_MULTIPLE * Math.max(mean, MINIMUM_MEAN_MILLIS);
        int badCount = bad ? 1 : 0;
        if (hasTarget(entry)) {
            routes.merge(route, new ResponseCounts(0, 0, 1, badCount, 0), ResponseCounts::plus);
            endpoints.merge(
                    entry.id(),
                    EndpointResponses.newBuilder().setResponses(1).setBad(badCount).build(),
                    PoolRollout::sum);
        } else {
            double logMillis = Math.log(Math.max(1, millis));
            routes.merge(
                    route, new ResponseCounts(1, badCount, 0, 0, logMillis), ResponseCounts::plus);
        }
    }

    private static EndpointResponses sum(EndpointResponses left, EndpointResponses right) {
        return EndpointResponses.newBuilder()
                .setResponses(left.getResponses() + right.getResponses())
                .setBad(left.getBad() + right.getBad())
                .build();
    }

    /** Returns what this VM has seen, for its peers. */
    RolloutUse report() {
        RolloutUse.Builder use =
                RolloutUse.newBuilder()
                        .setPool(view.pool())
                        .setTarget(target)
                        .setAgeMillis(view.ageMillis());
        routes.forEach(
                (route, counts) ->
                        use.addRoutes(
                                RouteResponses.newBuilder()
                                        .setRoute(route)
                                        .setCurrent(counts.current())
                                        .setCurrentBad(counts.currentBad())
                                        .setTarget(counts.target())
                                        .setTargetBad(counts.targetBad())
                                        .setCurrentLogMillis(counts.currentLogMillis())));
        endpoints.forEach((id, seen) -> use.addEndpoints(seen.toBuilder().setEndpoint(id)));
        return use.build();
    }
}
