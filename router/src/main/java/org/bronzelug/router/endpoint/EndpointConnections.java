package org.bronzelug.router.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bronzelug.core.path.DirectPath;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.ClientSocketChannel;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.relay.RelayTarget;

/**
 * The connection pool of one endpoint. A request uses the most recently used idle connection, or a
 * new one if no idle connection is usable. While this VM can't open connections to the endpoint,
 * other VMs relay them ({@link ConnectionAttempt}).
 *
 * <p>Invariant: an idle connection that may have been silenced by the loss of a path carries no
 * request before a direct connect to the endpoint has succeeded. Confined to the traffic thread.
 */
public final class EndpointConnections {
    private static final long CHECK_INTERVAL_NANOS = 1_000_000_000L;

    /** Time after a failed connect for which no other one is tried. */
    private static final long UNREACHABLE_NANOS = 500_000_000L;

    /** Less than the interval between probes, so that each round can probe the path again. */
    private static final int PROBE_CONNECT_MILLIS = 200;

    private final EventLoop traffic;
    private final InetSocketAddress address;
    private final WireFormat wire;
    private final RelayTarget target;
    private final VmPaths paths;
    private final DirectPath path = new DirectPath();
    private final IdleConnections idle = new IdleConnections();
    private final CrashDetection crash;
    private Optional<RouterMetrics> metrics = Optional.empty();
    private boolean retired;
    private boolean probing;
    private long nextCheckNanos = System.nanoTime();
    private OptionalLong unreachableSinceNanos = OptionalLong.empty();

    public EndpointConnections(
            EventLoop traffic,
            InetSocketAddress address,
            WireFormat wire,
            RelayTarget target,
            VmPaths paths) {
        this.traffic = traffic;
        this.address = address;
        this.wire = wire;
        this.target = target;
        this.paths = paths;
        this.crash = new CrashDetection(this::verify);
    }

    /**
     * Sets what is called once if the endpoint has crashed, with the time when a connection to it
     * was lost, if one was.
     */
    public void setCrashListener(Consumer<OptionalLong> listener) {
        crash.setListener(listener);
    }

    /** Sets where connections are counted that carry bytes of no request in progress. */
    public void setMetrics(RouterMetrics counters) {
        metrics = Optional.of(counters);
    }

    /** Records that the endpoint's entry names another start of it, or is gone. */
    public void recordReplaced() {
        crash.recordReplaced(System.nanoTime());
    }

    /** Returns whether an idle connection to the endpoint is open. */
    public boolean hasIdle() {
        return !idle.isEmpty();
    }

    /** Opens a connection, which shows whether the endpoint still listens. */
    private void verify() {
        EndpointConnection connection = newConnection(Optional.empty());
        connectDirectly(connection, PROBE_CONNECT_MILLIS)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                adopt(connection, connected.channel());
                                recordConnected();
                                keep(connection);
                            } else {
                                recordConnectFailed(connected.cause());
                            }
                        });
    }

    /** Records that a direct connect has failed. */
    void recordConnectFailed(Throwable cause) {
        crash.recordConnectFailed(cause);
    }

    /** Returns a call that is to be sent by {@link #send}. */
    public static EndpointCall newCall(
            FullHttpRequest request, String requestId, ResponseListener listener) {
        return new EndpointCall(request, requestId, listener);
    }

    /**
     * Sends a call on an idle connection, or on a new one. The events of the call may arrive before
     * this method returns.
     */
    public void send(EndpointCall call, long nowNanos) {
        Optional<EndpointConnection> kept =
                idle.take(
                        connection ->
                                isDoubtful(connection) || connection.hasCarried(call.requestId()),
                        nowNanos);
        if (kept.isPresent()) {
            startOn(kept.get(), call, kept.get().keptUse());
        } else {
            new ConnectionAttempt(traffic, this, paths, new CallListener(call)).start();
        }
    }

    /** Sends a call on an open connection, which is kept if the call has ended or is withheld. */
    private void startOn(EndpointConnection connection, EndpointCall call, ConnectionUse use) {
        if (!call.start(connection, use)) {
            keep(connection);
        }
    }

    private boolean isDoubtful(EndpointConnection connection) {
        return connection.relayVm().isEmpty()
                && path.isDoubtful(connection.lastReceivedNanos(), paths.lastSilentLossNanos());
    }

    /** Closes the idle connections; requests in flight continue. */
    public void closeIdle() {
        idle.closeIf(connection -> true);
        path.reset();
        paths.forget(this);
    }

    /** Closes the idle connections now and each other one when its request has ended. */
    public void retire() {
        retired = true;
        closeIdle();
    }

    /** Returns whether this VM reaches the endpoint through other VMs only. */
    public boolean isPathLost() {
        return path.isLost();
    }

    /**
     * Returns the time for which no request can be sent, since neither this VM nor another one
     * could connect to the endpoint a moment ago, and no connection is kept; 0 if one can be sent.
     */
    public long unreachableNanos(long nowNanos) {
        if (unreachableSinceNanos.isEmpty() || !idle.isEmpty()) {
            return 0;
        }
        return Math.max(0, UNREACHABLE_NANOS - (nowNanos - unreachableSinceNanos.getAsLong()));
    }

    private void recordUnreachable() {
        unreachableSinceNanos = OptionalLong.of(System.nanoTime());
    }

    /** Returns whether this VM has opened a direct connection to the endpoint after a time. */
    public boolean isConnectedSince(long nanos) {
        return path.isConnectedSince(nanos);
    }

    /** Returns whether a call waits on a connection that the loss of its path has silenced. */
    public boolean isSilenced(EndpointCall call) {
        return call.connection()
                .filter(connection -> connection.relayVm().isEmpty())
                .filter(connection -> path.isSilent(connection.lastReceivedNanos()))
                .isPresent();
    }

    /**
     * Checks the path by opening a connection, since requests get no response. At most one check
     * runs at a time, and one in {@link #CHECK_INTERVAL_NANOS}.
     */
    public void check(long nowNanos) {
        if (retired || path.isLost() || nowNanos - nextCheckNanos < 0) {
            return;
        }
        nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
        new ConnectionAttempt(traffic, this, paths, new CheckListener()).start();
    }

    /** Probes a lost path by opening a direct connection, which is kept if it succeeds. */
    void probe() {
        if (probing) {
            return;
        }
        probing = true;
        EndpointConnection connection = newConnection(Optional.empty());
        connectDirectly(connection, PROBE_CONNECT_MILLIS)
                .addListener(
                        (ChannelFuture connected) -> {
                            probing = false;
                            if (connected.isSuccess()) {
                                adopt(connection, connected.channel());
                                recordConnected();
                                keep(connection);
                            }
                        });
    }

    public RelayTarget target() {
        return target;
    }

    EndpointConnection newConnection(Optional<String> relayVm) {
        return new EndpointConnection(wire, new ConnectionOwner(), relayVm);
    }

    /** Takes a connection over whose channel is open. */
    void adopt(EndpointConnection connection, Channel channel) {
        unreachableSinceNanos = OptionalLong.empty();
        connection.bind(channel);
        channel.closeFuture().addListener(closed -> idle.remove(connection));
    }

    /** Keeps an idle connection for the next request. */
    void keep(EndpointConnection connection) {
        boolean needless = connection.relayVm().isPresent() && !isRelayWanted(connection);
        if (retired || needless) {
            connection.close();
        } else {
            idle.add(connection);
        }
    }

    private boolean isRelayWanted(EndpointConnection connection) {
        return path.isLost() && paths.relays().isListed(connection.relayVm().orElseThrow());
    }

    /** Closes the idle connections through VMs that relay no more. */
    void closeUnlistedRelays() {
        idle.closeIf(connection -> connection.relayVm().isPresent() && !isRelayWanted(connection));
    }

    /** Records that a direct connection was opened. */
    void recordConnected() {
        crash.recordConnected();
        if (path.recordConnected(System.nanoTime())) {
            EventLog.info(LogEvent.PATH_REGAINED, "endpoint=" + target.endpoint());
            idle.closeIf(connection -> connection.relayVm().isPresent());
            paths.recordRegained(this);
        }
    }

    /**
     * Records that only another VM could open a connection.
     *
     * @param silent whether the direct connect got no response, rather than a refusal
     */
    void recordPathLost(String cause, boolean silent) {
        long nowNanos = System.nanoTime();
        if (!retired && path.recordLost(silent, nowNanos)) {
            paths.recordLost(this, silent, nowNanos);
            EventLog.info(
                    LogEvent.PATH_LOST,
                    "endpoint="
                            + target.endpoint()
                            + " cause=\""
                            + cause
                            + "\" lost="
                            + paths.lostCount());
        }
    }

    ChannelFuture connectDirectly(EndpointConnection connection, int timeoutMillis) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(traffic)
                        .channel(ClientSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                        // Distinguishes the endpoint's close from any other end of the connection.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .handler(pipeline(connection));
        SocketSettings.enableKeepAlive(bootstrap);
        return bootstrap.connect(address);
    }

    private static ChannelInitializer<SocketChannel> pipeline(EndpointConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                addCodec(channel.pipeline(), connection);
            }
        };
    }

    static void addCodec(ChannelPipeline pipeline, EndpointConnection connection) {
        pipeline.addLast(new HttpRequestEncoder())
                .addLast(connection.inboundGuard())
                .addLast(connection.decoder())
                .addLast(connection);
    }

    /** Is notified by one connection; logs only the first time that it is out of step. */
    private final class ConnectionOwner implements EndpointConnection.Owner {
        private boolean logged;

        @Override
        public void onIdle(EndpointConnection connection) {
            keep(connection);
        }

        @Override
        public void onLost() {
            crash.recordLost(System.nanoTime());
        }

        @Override
        public void onDesynchronized(String requestId, Desynchronization cause, boolean skipped) {
            String counter =
                    skipped ? "endpoint_responses_skipped" : "endpoint_connections_out_of_step";
            metrics.ifPresent(present -> present.count(counter));
            if (!logged) {
                logged = true;
                EventLog.info(
                        LogEvent.CONNECTION_OUT_OF_STEP,
                        ("endpoint=" + target.endpoint())
                                + (" request=" + requestId)
                                + (" cause=\"" + cause.text() + "\"")
                                + (" skipped=" + skipped));
            }
        }
    }

    /** Sends a request on the connection that was opened for it. */
    private final class CallListener implements ConnectionAttempt.Listener {
        private final EndpointCall call;

        private CallListener(EndpointCall call) {
            this.call = call;
        }

        @Override
        public void onConnected(EndpointConnection connection, ConnectionUse use) {
            startOn(connection, call, use);
        }

        @Override
        public void onFailed(String cause) {
            recordUnreachable();
            call.unreachable(cause);
        }
    }

    /** Keeps the connection that was opened to check the path. */
    private final class CheckListener implements ConnectionAttempt.Listener {
        @Override
        public void onConnected(EndpointConnection connection, ConnectionUse use) {
            keep(connection);
        }

        @Override
        public void onFailed(String cause) {
            // Requests on open connections get no response either: the endpoint is down.
            idle.closeIf(connection -> true);
            recordUnreachable();
        }
    }
}
