package org.bronzelug.router.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.SocketSettings;

/**
 * The endpoints that requests may go to.
 *
 * <p>Invariant: another start of an endpoint, or another address, is another state: nothing
 * believed of the one before is kept. Confined to the traffic thread.
 */
public final class EndpointTable {
    private final EventLoop traffic;
    private final WireFormat wire;
    private final Map<String, EndpointState> states = new HashMap<>();
    private final Map<String, PrefillRate> rates = new HashMap<>();

    public EndpointTable(EventLoop traffic, WireFormat wire) {
        this.traffic = traffic;
        this.wire = wire;
    }

    /** Takes in the list; calls under way at endpoints that left go on. */
    void update(TrafficUpdate update) {
        states.values().removeIf(state -> hasLeft(state, update.endpoints()));
        List<EndpointState> draining = new ArrayList<>();
        for (EndpointEntry entry : update.endpoints().values()) {
            PeerEndpointUsage use =
                    update.peerUse().getOrDefault(entry.id(), PeerEndpointUsage.NONE);
            boolean ordered = update.ordered().contains(entry.id());
            EndpointState state = states.computeIfAbsent(entry.id(), id -> open(entry));
            if (state.update(entry, use, ordered)) {
                draining.add(state);
            }
        }
        updateLimits(update);
        // Only after all updates: a moved request must not select an endpoint that loads as well.
        draining.forEach(EndpointState::drain);
    }

    private void updateLimits(TrafficUpdate update) {
        long nowNanos = System.nanoTime();
        for (PeerLimitUsage use : update.peerLimits()) {
            find(use.endpoint())
                    .filter(state -> state.entry().bornMillis() == use.bornMillis())
                    .ifPresent(state -> state.recordPeerLimit(use, nowNanos));
        }
        for (EndpointState state : states.values()) {
            state.limit()
                    .ifPresent(
                            limit ->
                                    limit.setFleet(
                                            update.reachableFraction(),
                                            update.propagationDelayNanos()));
        }
    }

    private static boolean hasLeft(EndpointState state, Map<String, EndpointEntry> listed) {
        EndpointEntry entry = listed.get(state.entry().id());
        boolean left = entry == null || !entry.isSameStart(state.entry());
        if (left) {
            state.connections().closeIdle();
        }
        return left;
    }

    private EndpointState open(EndpointEntry entry) {
        return new EndpointState(
                entry,
                new EndpointConnections(traffic, SocketSettings.address(entry.address()), wire),
                prefillRate(entry.pool()));
    }

    /** The prefill rate of a pool; its runners have engines of one kind. */
    PrefillRate prefillRate(String pool) {
        return rates.computeIfAbsent(pool, name -> new PrefillRate());
    }

    /** The endpoints of a pool that take new work. */
    public List<EndpointState> takingWork(String pool) {
        return states.values().stream()
                .filter(state -> state.entry().pool().equals(pool) && !state.entry().draining())
                .toList();
    }

    public Optional<EndpointState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    public Collection<EndpointState> all() {
        return states.values();
    }
}
