package org.bronzelug.router.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.bronzelug.core.path.RelayPeer;
import org.bronzelug.core.path.RelaySelection;
import org.bronzelug.router.relay.RelayConnector;

/**
 * The paths from this VM to the endpoints: which of them are lost, and the VMs through which lost
 * ones are replaced.
 *
 * <p>Lost paths are probed by opening direct connections, a few at a time. The first success starts
 * the probes of the others at once, since a network failure that ends usually ends for all.
 *
 * <p>Invariant: while a path is lost, probes are scheduled, so it does not stay lost after it works
 * again. Confined to the traffic thread.
 */
public final class VmPaths {
    /** Time between two rounds of probes of lost paths. */
    private static final long PROBE_MILLIS = 250;

    /** Paths probed in one round. */
    private static final int PROBES_PER_ROUND = 4;

    private final EventLoop traffic;
    private final RelayConnector connector;
    private final RelaySelection relays =
            new RelaySelection(() -> ThreadLocalRandom.current().nextLong());
    private final Set<EndpointConnections> lost = new LinkedHashSet<>();
    private final Deque<EndpointConnections> probeQueue = new ArrayDeque<>();
    private OptionalLong lastSilentLossNanos = OptionalLong.empty();
    private boolean probing;

    public VmPaths(EventLoop traffic) {
        this.traffic = traffic;
        this.connector = new RelayConnector(traffic);
    }

    /** Sets the VMs that relay connections. */
    public void updatePeers(List<RelayPeer> peers, long nowNanos) {
        relays.update(peers, nowNanos);
        List.copyOf(lost).forEach(EndpointConnections::closeUnlistedRelays);
    }

    /** Returns the ids of the endpoints that this VM reaches through other VMs only. */
    public Set<String> lostEndpoints() {
        return lost.stream()
                .map(endpoint -> endpoint.target().endpoint())
                .collect(Collectors.toUnmodifiableSet());
    }

    int lostCount() {
        return lost.size();
    }

    /** Returns when this VM last lost a path to any endpoint to silence; empty if never. */
    public OptionalLong lastSilentLossNanos() {
        return lastSilentLossNanos;
    }

    RelaySelection relays() {
        return relays;
    }

    RelayConnector connector() {
        return connector;
    }

    void recordLost(EndpointConnections endpoint, boolean silent, long nowNanos) {
        lost.add(endpoint);
        if (silent) {
            lastSilentLossNanos = OptionalLong.of(nowNanos);
        }
        scheduleProbes();
    }

    void recordRegained(EndpointConnections endpoint) {
        forget(endpoint);
        probeNext();
    }

    /**
     * Drops the lost paths to endpoints that are not listed any more. A connect that was pending
     * when its endpoint left the list may have added one since.
     */
    public void retainListed(Predicate<EndpointConnections> isListed) {
        for (EndpointConnections endpoint : List.copyOf(lost)) {
            if (!isListed.test(endpoint)) {
                endpoint.closeIdle();
            }
        }
    }

    /** Drops what is known of an endpoint that has left the platform's list. */
    void forget(EndpointConnections endpoint) {
        lost.remove(endpoint);
        probeQueue.remove(endpoint);
        relays.forget(endpoint.target().endpoint());
    }

    private void scheduleProbes() {
        if (!probing) {
            probing = true;
            traffic.schedule(this::runProbes, PROBE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runProbes() {
        probing = false;
        if (lost.isEmpty()) {
            return;
        }
        for (int probe = 0; probe < PROBES_PER_ROUND; probe++) {
            probeNext();
        }
        scheduleProbes();
    }

    private void probeNext() {
        if (probeQueue.isEmpty()) {
            probeQueue.addAll(lost);
        }
        EndpointConnections next = probeQueue.pollFirst();
        if (next != null) {
            next.probe();
        }
    }
}
