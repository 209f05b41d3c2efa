package org.bronzelug.router.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.api.fleet.v1.PrefixRead;
import org.bronzelug.core.path.RelayPeer;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.RoutingConfiguration;

/**
 * An update from the control thread to the traffic thread. Each update replaces the previous one,
 * except for the peers' usage and reads ({@code peerTeams}, {@code peerLimits} and {@code
 * peerReads}): an update holds only those received since the previous update, and the traffic
 * thread merges them into what it has. Immutable.
 *
 * @param configuration the configuration in force; empty until one is known
 * @param endpoints the listed endpoints by id
 * @param listCurrent whether the list of endpoints is known to be current: this VM reads the
 *     platform, or hears most of its peers
 * @param weights the published target versions by model
 * @param peerUsage the other VMs' load on each endpoint, by endpoint id
 * @param peerTeams usage of teams' rates that peers reported since the previous update
 * @param peerLimits endpoints' limits that peers reported since the previous update, with the
 *     peers' usage of them
 * @param peerReads prefixes that peers' prompts made runners prefill, as reported since the
 *     previous update
 * @param loadOrdered ids of the endpoints that have an order to load weights
 * @param rollouts the rollouts of software versions, by pool
 * @param reachableFraction fraction of the fleet's VMs that are reachable, this VM included; in (0,
 *     1]
 * @param vmCount number of VMs of the fleet, this VM included
 * @param relayPeers the VMs that relay connections to endpoints
 * @param propagationDelayNanos the time until the usage of one VM is known to all VMs
 * @param adaptivePools pools that peers know to report how long work takes on their machines
 */
public record TrafficUpdate(
        Optional<RoutingConfiguration> configuration,
        Map<String, EndpointEntry> endpoints,
        boolean listCurrent,
        Map<String, WeightsTarget> weights,
        Map<String, PeerEndpointUsage> peerUsage,
        List<PeerTeamUsage> peerTeams,
        List<PeerLimitUsage> peerLimits,
        List<PrefixRead> peerReads,
        Set<String> loadOrdered,
        Map<String, RolloutView> rollouts,
        double reachableFraction,
        int vmCount,
        List<RelayPeer> relayPeers,
        long propagationDelayNanos,
        Set<String> adaptivePools) {
    public TrafficUpdate {
        endpoints = Map.copyOf(endpoints);
        weights = Map.copyOf(weights);
        peerUsage = Map.copyOf(peerUsage);
        peerTeams = List.copyOf(peerTeams);
        peerLimits = List.copyOf(peerLimits);
        peerReads = List.copyOf(peerReads);
        loadOrdered = Set.copyOf(loadOrdered);
        rollouts = Map.copyOf(rollouts);
        relayPeers = List.copyOf(relayPeers);
        adaptivePools = Set.copyOf(adaptivePools);
    }
}
