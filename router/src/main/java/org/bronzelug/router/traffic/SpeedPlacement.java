package org.bronzelug.router.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.capacity.Remeasurement;
import org.bronzelug.core.capacity.UsualTime;
import org.bronzelug.core.placement.LeastLoad;

/**
 * Placement of requests without a prompt by the measured speeds of endpoints, in adaptive pools.
 * Confined to the traffic thread.
 */
public final class SpeedPlacement {
    private final AdaptivePools adaptivePools;
    private final String availabilityZone;
    private final Map<String, UsualTime> durations = new HashMap<>();

    SpeedPlacement(AdaptivePools adaptivePools, String availabilityZone) {
        this.adaptivePools = adaptivePools;
        this.availabilityZone = availabilityZone;
    }

    /** Records how long a request was in flight at an endpoint of the pool. */
    public void recordEnded(String pool, long durationNanos, long nowNanos) {
        if (adaptivePools.contains(pool)) {
            durations
                    .computeIfAbsent(pool, name -> new UsualTime())
                    .record(Math.max(1.0, durationNanos), nowNanos);
        }
    }

    /** Returns the endpoint for a request without a prompt; empty if none is usable. */
    Optional<EndpointState> choose(Collection<EndpointState> usable, long nowNanos) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Map<String, EndpointState> byId = new HashMap<>();
        List<LeastLoad.Candidate> candidates = new ArrayList<>();
        List<LeastLoad.Candidate> measuredNow = new ArrayList<>();
        double probability = remeasureProbability(usable);
        for (EndpointState state : usable) {
            LeastLoad.Candidate candidate = candidate(state, nowNanos);
            byId.put(candidate.endpoint(), state);
            candidates.add(candidate);
            boolean accepting = !candidate.suspect() && candidate.requests() < candidate.slots();
            if (accepting
                    && state.capacity().isRemeasured(probability, random.nextDouble(), nowNanos)) {
                measuredNow.add(candidate);
            }
        }
        return LeastLoad.chooseBySpeed(
                        measuredNow.isEmpty() ? candidates : measuredNow,
                        random.nextDouble(),
                        random.nextDouble())
                .map(best -> byId.get(best.endpoint()));
    }

    private LeastLoad.Candidate candidate(EndpointState state, long nowNanos) {
        return new LeastLoad.Candidate(
                state.entry().id(),
                state.entry().availabilityZone().equals(availabilityZone),
                state.isSuspect(nowNanos),
                state.ownRequests() + (int) Math.round(state.capacity().meanPeerRequests()),
                state.capacity().slots(Math.max(1, state.entry().slots())),
                state.capacity().speed(nowNanos));
    }

    /** Returns the probability with which a request measures an endpoint that appeared slow. */
    private double remeasureProbability(Collection<EndpointState> usable) {
        Optional<EndpointState> first = usable.stream().findAny();
        if (first.isEmpty() || !first.get().capacity().isAdaptive()) {
            return 0;
        }
        double requests =
                usable.stream()
                        .mapToDouble(
                                state -> state.ownRequests() + state.capacity().meanPeerRequests())
                        .sum();
        UsualTime duration = durations.get(first.get().entry().pool());
        return duration == null ? 0 : Remeasurement.probability(requests, duration.duration());
    }
}
