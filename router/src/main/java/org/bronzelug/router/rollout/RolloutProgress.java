package org.bronzelug.router.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bronzelug.api.fleet.v1.EndpointResponses;
import org.bronzelug.api.fleet.v1.RolloutUse;
import org.bronzelug.api.fleet.v1.RouteResponses;
import org.bronzelug.core.rollout.ResponseCounts;
import org.bronzelug.core.rollout.RolloutEvidence;
import org.bronzelug.core.rollout.RolloutOrder;
import org.bronzelug.core.rollout.RolloutPolicy;
import org.bronzelug.core.rollout.RolloutStage;
import org.bronzelug.router.traffic.RolloutView;

/**
 * One rollout as this VM knows it, from the order and from what all VMs have seen.
 *
 * <p>Invariants: an end state that any VM has written is not left, and the counts of a VM are kept
 * after that VM has gone, so the evidence never shrinks. Confined to the control thread.
 */
final class RolloutProgress {
    private RolloutOrder order;
    private long startNanos;
    private final RolloutEvidence evidence = new RolloutEvidence();
    private final Map<String, RolloutUse> uses = new HashMap<>();
    private RolloutStage stage = RolloutStage.TRIAL;
    private long stageNanos;
    private boolean currentSeen;

    RolloutProgress(RolloutOrder order, long nowNanos) {
        this.order = order;
        this.startNanos = nowNanos;
        this.stageNanos = nowNanos;
    }

    RolloutOrder order() {
        return order;
    }

    RolloutStage stage() {
        return stage;
    }

    /** Applies a newer revision of the same order. */
    void update(RolloutOrder newer, long nowNanos) {
        order = newer;
        newer.writtenStage()
                .filter(RolloutStage::isTerminal)
                .ifPresent(written -> enter(written, nowNanos));
    }

    /**
     * Records what one VM has seen.
     *
     * @param incarnation of the VM, whose counts begin at 0
     * @param receivedNanos when its report arrived
     */
    void record(String incarnation, RolloutUse use, long receivedNanos) {
        uses.put(incarnation, use);
        startNanos =
                Math.min(
                        startNanos,
                        receivedNanos - TimeUnit.MILLISECONDS.toNanos(use.getAgeMillis()));
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }

    long stageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - stageNanos);
    }

    /**
     * Determines the stage from all that is known; keeps a terminal one.
     *
     * @param targetEndpoints endpoints of the target version that accept requests
     */
    void advance(int targetEndpoints, long nowNanos) {
        routeCounts().forEach(evidence::record);
        if (!stage.isTerminal()) {
            enter(RolloutPolicy.stage(facts(targetEndpoints, nowNanos)), nowNanos);
        }
    }

    RolloutPolicy.Facts facts(int targetEndpoints, long nowNanos) {
        boolean faulty =
                evidence.isBad()
                        && RolloutPolicy.isSpread(badByEndpoint().values(), targetEndpoints);
        return new RolloutPolicy.Facts(
                ageMillis(nowNanos),
                order.durationMillis(),
                faulty,
                targetResponses(),
                targetEndpoints > 0);
    }

    /** Records how many endpoints of the current version are listed now. */
    void recordCurrentEndpoints(int currentEndpoints) {
        boolean currentResponded =
                routeCounts().values().stream().anyMatch(counts -> counts.current() > 0);
        currentSeen |= currentEndpoints > 0 || currentResponded;
    }

    /**
     * Returns whether the target version is all that the pool has run since the order. Endpoints of
     * the current version that are missing from the list for a while do not count as gone: without
     * this, an untried version succeeds during an outage and the endpoints that work are stopped.
     */
    boolean isTargetAlone(int targetEndpoints) {
        return targetEndpoints > 0 && !currentSeen;
    }

    void enter(RolloutStage next, long nowNanos) {
        if (stage != next) {
            stage = next;
            stageNanos = nowNanos;
        }
    }

    private Map<String, ResponseCounts> routeCounts() {
        Map<String, ResponseCounts> counts = new HashMap<>();
        for (RolloutUse use : uses.values()) {
            for (RouteResponses seen : use.getRoutesList()) {
                counts.merge(seen.getRoute(), counts(seen), ResponseCounts::plus);
            }
        }
        return counts;
    }

    private static ResponseCounts counts(RouteResponses seen) {
        return new ResponseCounts(
                seen.getCurrent(),
                seen.getCurrentBad(),
                seen.getTarget(),
                seen.getTargetBad(),
                seen.getCurrentLogMillis());
    }

    private Map<String, Long> badByEndpoint() {
        Map<String, Long> bad = new HashMap<>();
        for (RolloutUse use : uses.values()) {
            for (EndpointResponses seen : use.getEndpointsList()) {
                bad.merge(seen.getEndpoint(), seen.getBad(), Long::sum);
            }
        }
        return bad;
    }

    private long targetResponses() {
        return routeCounts().values().stream().mapToLong(ResponseCounts::target).sum();
    }

    /**
     * Returns the view for the traffic thread.
     *
     * @param inTouch whether this VM hears enough of its peers to know the fleet's counts
     */
    RolloutView view(boolean inTouch, long nowNanos) {
        Collection<Long> bad = badByEndpoint().values();
        Map<String, Double> meanMillis = new HashMap<>();
        routeCounts().forEach((route, counts) -> meanMillis.put(route, counts.meanMillis()));
        return new RolloutView(
                order.pool(),
                order.target(),
                stage,
                inTouch && RolloutPolicy.mayContinueTrial(bad),
                ageMillis(nowNanos),
                meanMillis);
    }

    /** Returns the inputs of the decision as fields of a log line. */
    String describe(int targetEndpoints, long nowNanos) {
        return ("pool=" + order.pool())
                + (" target=" + order.target())
                + (" stage=" + stage)
                + (" revision=" + order.revision())
                + (" ageMillis=" + ageMillis(nowNanos))
                + (" durationMillis=" + order.durationMillis())
                + (" evidence=" + Math.round(evidence.sum() * 10) / 10.0)
                + (" responses=" + targetResponses())
                + (" badByEndpoint=" + badByEndpoint())
                + (" endpoints=" + targetEndpoints)
                + (" vms=" + uses.size());
    }
}
