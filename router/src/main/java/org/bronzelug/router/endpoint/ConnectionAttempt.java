package org.bronzelug.router.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.path.RelayPeer;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.relay.RelayConnector;

/**
 * One attempt to get a connection to an endpoint: directly and, if that fails or takes longer than
 * a connect should, through other VMs at the same time. The first connection that stands is used.
 *
 * <p>Nothing is written before a connection stands, so this is safe for requests that may run once
 * only. If only another VM could connect, the direct path is lost. If none could, the endpoint is
 * down, and the attempt fails without waiting for the direct connect any longer.
 *
 * <p>Invariant: the listener is called exactly once. Confined to the traffic thread.
 */
final class ConnectionAttempt {
    /** A direct connect takes two link delays of milliseconds; this covers a busy VM as well. */
    static final long DIRECT_MILLIS = 75;

    /** Least time that a direct connect gets if other VMs say at once that they can't connect. */
    private static final long MINIMUM_DIRECT_MILLIS = 300;

    /** Bounds how long other VMs are asked one after the other. */
    private static final long RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * VMs asked at most. An endpoint that is down makes each VM ask this many others, so that few
     * are asked unless this VM has lost paths, as others may have too.
     */
    private static final int MAXIMUM_ASKED_VMS = 2;

    private static final int MAXIMUM_ASKED_VMS_WITH_LOST_PATHS = 4;

    private final EventLoop traffic;
    private final EndpointConnections owner;
    private final VmPaths paths;
    private final Listener listener;
    private final Set<String> askedVms = new HashSet<>();
    private final Set<ChannelFuture> pendingDirect = new HashSet<>();
    private String cause = "no path to the endpoint";
    private final long startNanos = System.nanoTime();
    private long relayStartNanos;
    private boolean relaying;
    private boolean relaysExhausted;
    private boolean done;

    /** Is notified of the outcome. */
    interface Listener {
        void onConnected(EndpointConnection connection, ConnectionUse use);

        void onFailed(String cause);
    }

    ConnectionAttempt(
            EventLoop traffic, EndpointConnections owner, VmPaths paths, Listener listener) {
        this.traffic = traffic;
        this.owner = owner;
        this.paths = paths;
        this.listener = listener;
    }

    /** Starts the attempt; while this VM has lost paths, it asks another VM at once. */
    void start() {
        if (!owner.isPathLost()) {
            connectDirectly();
        }
        if (paths.lostCount() > 0) {
            startRelaying();
        } else {
            traffic.schedule(this::startRelaying, DIRECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void connectDirectly() {
        EndpointConnection connection = owner.newConnection(Optional.empty());
        ChannelFuture connect = owner.connectDirectly(connection, SocketSettings.CONNECT_MILLIS);
        pendingDirect.add(connect);
        connect.addListener((ChannelFuture connected) -> onDirect(connection, connected));
    }

    private void onDirect(EndpointConnection connection, ChannelFuture connected) {
        boolean abandoned = !pendingDirect.remove(connected);
        if (connected.isSuccess()) {
            owner.adopt(connection, connected.channel());
            owner.recordConnected();
            if (done) {
                cancelDirect();
                owner.keep(connection);
            } else {
                finish(connection, ConnectionUse.NEW);
            }
            return;
        }
        if (abandoned) {
            return;
        }
        owner.recordConnectFailed(connected.cause());
        cause = String.valueOf(connected.cause().getMessage());
        if (!done) {
            startRelaying();
            failIfOver();
        } else if (pendingDirect.isEmpty()) {
            owner.recordPathLost(cause, false);
        }
    }

    private void startRelaying() {
        if (done || relaying) {
            return;
        }
        relaying = true;
        relayStartNanos = System.nanoTime();
        askNextVm();
    }

    private void askNextVm() {
        long nowNanos = System.nanoTime();
        int maximum = paths.lostCount() > 0 ? MAXIMUM_ASKED_VMS_WITH_LOST_PATHS : MAXIMUM_ASKED_VMS;
        boolean exhausted = askedVms.size() >= maximum || nowNanos - relayStartNanos > RELAY_NANOS;
        Optional<RelayPeer> peer =
                exhausted
                        ? Optional.empty()
                        : paths.relays().select(owner.target().endpoint(), askedVms, nowNanos);
        if (peer.isEmpty()) {
            relaysExhausted = true;
            if (askedVms.isEmpty() && owner.isPathLost()) {
                // No VM relays any more: the direct path is the only one left.
                connectDirectly();
            }
            failIfOver();
            return;
        }
        askedVms.add(peer.get().vm());
        paths.connector().connect(peer.get(), owner.target(), new RelayOutcome(peer.get()));
    }

    private void onRelayed(RelayPeer peer, Channel channel) {
        paths.relays().recordConnected(peer.vm(), owner.target().endpoint());
        EndpointConnection connection = owner.newConnection(Optional.of(peer.vm()));
        EndpointConnections.addCodec(channel.pipeline(), connection);
        owner.adopt(connection, channel);
        if (done) {
            owner.keep(connection);
            return;
        }
        finish(connection, ConnectionUse.NEW_RELAYED);
        if (pendingDirect.isEmpty()) {
            owner.recordPathLost(cause, false);
        } else {
            // Once more, since the first packet of the pending one may have been lost.
            connectDirectly();
            traffic.schedule(this::abandonDirect, DIRECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends direct connects that did not complete although another VM has connected since. */
    private void abandonDirect() {
        if (!pendingDirect.isEmpty()) {
            cancelDirect();
            owner.recordPathLost("connect timed out", true);
        }
    }

    private void cancelDirect() {
        Set<ChannelFuture> pending = Set.copyOf(pendingDirect);
        pendingDirect.clear();
        pending.forEach(connect -> connect.channel().close());
    }

    /** Fails unless a connect may still succeed; with no VM to ask, the direct one is awaited. */
    private void failIfOver() {
        boolean over = relaysExhausted && (pendingDirect.isEmpty() || !askedVms.isEmpty());
        if (done || !over) {
            return;
        }
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (!pendingDirect.isEmpty() && waitedMillis < MINIMUM_DIRECT_MILLIS) {
            long remainingMillis = MINIMUM_DIRECT_MILLIS - waitedMillis;
            traffic.schedule(this::failIfOver, remainingMillis, TimeUnit.MILLISECONDS);
            return;
        }
        done = true;
        cancelDirect();
        listener.onFailed(cause);
    }

    private void finish(EndpointConnection connection, ConnectionUse use) {
        done = true;
        listener.onConnected(connection, use);
    }

    /** Receives the outcome of asking one VM. */
    private final class RelayOutcome implements RelayConnector.Listener {
        private final RelayPeer peer;

        private RelayOutcome(RelayPeer peer) {
            this.peer = peer;
        }

        @Override
        public void onConnected(Channel channel) {
            onRelayed(peer, channel);
        }

        @Override
        public void onRefused(String reason) {
            paths.relays().recordFailed(peer.vm(), owner.target().endpoint(), System.nanoTime());
            next("through " + peer.vm() + ": " + reason);
        }

        @Override
        public void onUnreachable(String reason) {
            paths.relays().recordUnreachable(peer.vm(), System.nanoTime());
            next(peer.vm() + " does not relay: " + reason);
        }

        private void next(String reason) {
            if (!done) {
                cause = reason;
                askNextVm();
            }
        }
    }
}
