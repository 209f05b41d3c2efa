package org.bronzelug.router.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;

/**
 * All that the control thread tells the traffic thread. Each one replaces the one before, but for
 * counts and reads of peers, which only grow. Immutable.
 *
 * @param configuration in force; empty until one is known
 * @param endpoints by id
 * @param weights newest, by model
 * @param peerUse by endpoint id
 * @param peerTeams what peers admitted, of those heard since the update before
 * @param peerLimits what peers know of endpoints' limits, of those heard since the update before
 * @param peerReads prompts that peers sent to runners lately, of those heard since the update
 *     before
 * @param ordered ids of endpoints that load weights now
 * @param reachableFraction the part of the fleet's VMs that is heard, this one included; in (0, 1]
 * @param vmCount VMs of the fleet, this one included
 * @param propagationDelayNanos until the count of one VM is known to all
 */
public record TrafficUpdate(
        Optional<RoutingConfiguration> configuration,
        Map<String, EndpointEntry> endpoints,
        Map<String, WeightsTarget> weights,
        Map<String, PeerEndpointUsage> peerUse,
        List<PeerTeamUsage> peerTeams,
        List<PeerLimitUsage> peerLimits,
        List<PrefixRead> peerReads,
        Set<String> ordered,
        double reachableFraction,
        int vmCount,
        long propagationDelayNanos) {
    public TrafficUpdate {
        endpoints = Map.copyOf(endpoints);
        weights = Map.copyOf(weights);
        peerUse = Map.copyOf(peerUse);
        peerTeams = List.copyOf(peerTeams);
        peerLimits = List.copyOf(peerLimits);
        peerReads = List.copyOf(peerReads);
        ordered = Set.copyOf(ordered);
    }
}
