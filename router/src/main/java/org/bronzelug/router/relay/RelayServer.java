package org.bronzelug.router.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;
import org.bronzelug.router.http.SocketSettings;
import org.bronzelug.router.metrics.RouterMetrics;

/**
 * Relays connections of other VMs to endpoints that they can't reach themselves.
 *
 * <p>A VM asks for an endpoint by its id; only endpoints that this VM knows can be reached. The VM
 * that asks has authenticated and admitted its callers, chosen the endpoint and built the request;
 * this VM only passes bytes on and connects to nothing but endpoints, so requests are relayed once
 * at most.
 *
 * <p>Invariant: at most {@link #MAXIMUM_CONNECTIONS} are relayed at a time. The connections are
 * confined to the traffic thread; {@link #start} and {@link #stop} may be called by any thread.
 */
public final class RelayServer implements Service {
    public static final String NAME = "relay";

    /** Bounds the descriptors that peers use here, two for each connection. */
    static final int MAXIMUM_CONNECTIONS = 512;

    private final EventLoop traffic;
    private final InetSocketAddress address;
    private final RelayDirectory directory;
    private final RouterMetrics metrics;
    private final Set<Channel> connections = new HashSet<>();
    private Optional<Channel> listener = Optional.empty();

    public RelayServer(
            EventLoop traffic,
            InetSocketAddress address,
            RelayDirectory directory,
            RouterMetrics metrics) {
        this.traffic = traffic;
        this.address = address;
        this.directory = directory;
        this.metrics = metrics;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() throws ServiceException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(traffic)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(new ConnectionSetup());
        SocketSettings.enableKeepAlive(bootstrap);
        try {
            listener = Optional.of(bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "cannot listen for relayed connections on " + address + ": free the port",
                    failed);
        }
    }

    /** Accepts no new connections; open ones continue. Must be called on the traffic thread. */
    public void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /** Closes all connections within what they carry. Must be called on the traffic thread. */
    public void closeConnections() {
        Set.copyOf(connections).forEach(Channel::close);
    }

    /** Returns the number of connections relayed. Must be called on the traffic thread. */
    public int connectionCount() {
        return connections.size();
    }

    @Override
    public void stop() {
        listener.ifPresent(Channel::close);
        traffic.execute(this::closeConnections);
    }

    /** Sets up the pipeline of a new connection. */
    private final class ConnectionSetup extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (connections.size() >= MAXIMUM_CONNECTIONS) {
                channel.close();
                return;
            }
            connections.add(channel);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
            RelayFraming.addToServer(channel.pipeline());
            channel.pipeline().addLast(new RelayServerHandler(traffic, directory, metrics));
        }
    }
}
