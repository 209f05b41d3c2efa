package org.bronzelug.router.traffic;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.bronzelug.core.placement.PrefillRate;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.router.endpoint.EndpointConnections;
import org.bronzelug.router.endpoint.VmPaths;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.relay.RelayDirectory;
import org.bronzelug.router.relay.RelayTarget;

/**
 * The endpoints that requests may be sent to, with their state.
 *
 * <p>Invariant: an endpoint that restarts or changes its address gets a new {@link EndpointState};
 * nothing is carried over from the previous one. An endpoint whose entry vanishes and reappears
 * without a restart keeps its state. Confined to the traffic thread.
 */
public final class EndpointTable implements RelayDirectory {
    private final EventLoop traffic;
    private final WireFormat wire;
    private final VmPaths paths;
    private final Map<String, EndpointState> states = new HashMap<>();
    private final RemovedEndpoints removed = new RemovedEndpoints();
    private final Map<String, PrefillRate> rates = new HashMap<>();
    private final AdaptivePools adaptivePools;
    private Optional<CrashListener> crashListener = Optional.empty();
    private Optional<RouterMetrics> metrics = Optional.empty();

    /** Is notified on the traffic thread. */
    interface CrashListener {
        /**
         * Called once if an endpoint has crashed.
         *
         * @param lostNanos when a connection to it was lost; empty if none was
         */
        void onCrashed(EndpointState endpoint, OptionalLong lostNanos);
    }

    public EndpointTable(EventLoop traffic, WireFormat wire) {
        this(traffic, wire, new AdaptivePools(false));
    }

    EndpointTable(EventLoop traffic, WireFormat wire, AdaptivePools adaptivePools) {
        this.traffic = traffic;
        this.wire = wire;
        this.adaptivePools = adaptivePools;
        this.paths = new VmPaths(traffic);
    }

    void setCrashListener(CrashListener listener) {
        crashListener = Optional.of(listener);
    }

    void setMetrics(RouterMetrics counters) {
        metrics = Optional.of(counters);
    }

    /** Returns the pools whose endpoints report how long work takes on their machines. */
    public AdaptivePools adaptivePools() {
        return adaptivePools;
    }

    /** Returns the paths from this VM to the endpoints. */
    public VmPaths paths() {
        return paths;
    }

    /** Applies the list of endpoints; requests in flight at removed endpoints continue. */
    void update(TrafficUpdate update) {
        paths.updatePeers(update.relayPeers(), System.nanoTime());
        removeUnlisted(update.endpoints());
        update.adaptivePools().forEach(adaptivePools::record);
        adaptivePools.retain(
                update.endpoints().values().stream()
                        .map(EndpointEntry::pool)
                        .collect(Collectors.toSet()));
        List<EndpointState> draining = new ArrayList<>();
        for (EndpointEntry entry : update.endpoints().values()) {
            PeerEndpointUsage usage =
                    update.peerUsage().getOrDefault(entry.id(), PeerEndpointUsage.NONE);
            boolean loadOrdered = update.loadOrdered().contains(entry.id());
            EndpointState state =
                    states.computeIfAbsent(entry.id(), id -> reinstateOrCreate(entry));
            if (state.update(entry, usage, loadOrdered)) {
                draining.add(state);
            }
        }
        updateLimits(update);
        checkSilentPaths();
        // Only after all updates: a moved request must not select another endpoint that loads.
        draining.forEach(EndpointState::drain);
    }

    private boolean isListed(EndpointConnections connections) {
        return find(connections.target().endpoint())
                .filter(state -> state.connections() == connections)
                .isPresent();
    }

    private void checkSilentPaths() {
        paths.retainListed(this::isListed);
        long nowNanos = System.nanoTime();
        for (EndpointState state : states.values()) {
            state.checkPathIfSilent(paths.lastSilentLossNanos(), nowNanos);
        }
    }

    private void updateLimits(TrafficUpdate update) {
        long nowNanos = System.nanoTime();
        for (PeerLimitUsage peer : update.peerLimits()) {
            find(peer.endpoint())
                    .filter(state -> state.entry().bornMillis() == peer.bornMillis())
                    .ifPresent(state -> state.recordPeerLimit(peer, nowNanos));
        }
        for (EndpointState state : states.values()) {
            state.limit()
                    .ifPresent(
                            limit ->
                                    limit.setReachability(
                                            update.reachableFraction(),
                                            update.propagationDelayNanos()));
        }
    }

    private void removeUnlisted(Map<String, EndpointEntry> listed) {
        for (EndpointState state : List.copyOf(states.values())) {
            EndpointEntry entry = listed.get(state.entry().id());
            if (entry == null || !entry.isSameStart(state.entry())) {
                states.remove(state.entry().id());
                state.connections().recordReplaced();
                state.connections().closeIdle();
                removed.add(state);
            }
        }
    }

    /** Returns the state of an endpoint that is newly listed; the former one of the same start. */
    private EndpointState reinstateOrCreate(EndpointEntry entry) {
        return removed.take(entry).orElseGet(() -> createState(entry));
    }

    private EndpointState createState(EndpointEntry entry) {
        EndpointConnections connections =
                new EndpointConnections(
                        traffic,
                        SocketSettings.address(entry.address()),
                        wire,
                        new RelayTarget(entry.id(), entry.bornMillis()),
                        paths);
        metrics.ifPresent(connections::setMetrics);
        EndpointState state =
                new EndpointState(entry, connections, prefillRate(entry.pool()), adaptivePools);
        connections.setCrashListener(
                lostNanos ->
                        crashListener.ifPresent(present -> present.onCrashed(state, lostNanos)));
        return state;
    }

    /** Returns the prefill rate of a pool, whose runners all have the same kind of engine. */
    PrefillRate prefillRate(String pool) {
        return rates.computeIfAbsent(pool, name -> new PrefillRate());
    }

    /**
     * Returns the endpoints of a pool that accept new requests, that is, neither drain by their
     * entries nor leave by their responses.
     */
    public List<EndpointState> acceptingRequests(String pool) {
        return states.values().stream()
                .filter(state -> state.entry().pool().equals(pool))
                .filter(state -> !state.entry().draining() && !state.isLeaving())
                .toList();
    }

    /** Returns the endpoints of a pool that accept new requests from this VM now. */
    public List<EndpointState> available(String pool, long nowNanos) {
        return acceptingRequests(pool).stream()
                .filter(state -> state.isAvailable(nowNanos))
                .toList();
    }

    /**
     * Returns the lowest number of rejections in a second that an endpoint of the pool withstands;
     * empty if none states any. The endpoints of a pool are alike, and one that has not responded
     * yet states nothing.
     */
    public OptionalDouble rejectionTolerance(String pool) {
        OptionalDouble lowest = OptionalDouble.empty();
        for (EndpointState state : states.values()) {
            OptionalDouble own = state.rejectionTolerance();
            boolean lower = own.isPresent() && own.getAsDouble() < lowest.orElse(Double.MAX_VALUE);
            if (lower && state.entry().pool().equals(pool)) {
                lowest = own;
            }
        }
        return lowest;
    }

    @Override
    public Optional<InetSocketAddress> addressOf(RelayTarget target) {
        return find(target.endpoint())
                .filter(state -> state.entry().bornMillis() == target.bornMillis())
                .filter(state -> !state.connections().isPathLost())
                .map(state -> SocketSettings.address(state.entry().address()));
    }

    public Optional<EndpointState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    public Collection<EndpointState> all() {
        return states.values();
    }

    /** Returns the endpoints, and those that were removed while requests were in flight there. */
    Collection<EndpointState> allAndRemoved() {
        List<EndpointState> all = new ArrayList<>(states.values());
        for (EndpointState state : removed.all()) {
            if (state.ownRequests() > 0) {
                all.add(state);
            }
        }
        return all;
    }
}
