package org.bronzelug.router.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.bronzelug.router.exchange.WireFormat;
import org.bronzelug.router.http.SocketSettings;

/**
 * The connections to one endpoint: kept ones are used before new ones are opened, the last used
 * first. Confined to the traffic thread.
 */
public final class EndpointConnections {
    /**
     * How long before an endpoint's idle limit a kept connection is no longer used. The endpoint
     * closes at its limit; a request sent just then may or may not have run. Limits are told in
     * whole seconds, and links take milliseconds.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private final EventLoop traffic;
    private final InetSocketAddress address;
    private final WireFormat wire;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();

    public EndpointConnections(EventLoop traffic, InetSocketAddress address, WireFormat wire) {
        this.traffic = traffic;
        this.address = address;
        this.wire = wire;
    }

    /** Sends a request on a kept connection, or on a new one. */
    public EndpointCall send(
            FullHttpRequest request, String requestId, ResponseListener listener, long nowNanos) {
        EndpointCall call = new EndpointCall(request, requestId, listener);
        while (!idle.isEmpty()) {
            EndpointConnection kept = idle.pollFirst();
            if (kept.isUsable(nowNanos, IDLE_MARGIN_MILLIS)) {
                call.start(kept);
                return call;
            }
            kept.close();
        }
        connect(call);
        return call;
    }

    /** Closes the kept connections that are idle; calls under way go on. */
    public void closeIdle() {
        // A copy: a connection that closes leaves the queue at once, in the middle of the loop.
        List.copyOf(idle).forEach(EndpointConnection::close);
        idle.clear();
    }

    private void connect(EndpointCall call) {
        EndpointConnection connection = new EndpointConnection(wire, idle::addFirst);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(traffic)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, SocketSettings.CONNECT_MILLIS)
                        .handler(pipeline(connection));
        SocketSettings.keepAlive(bootstrap);
        bootstrap
                .connect(address)
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                call.unreachable(String.valueOf(connected.cause().getMessage()));
                                return;
                            }
                            connection.bind(connected.channel());
                            connected
                                    .channel()
                                    .closeFuture()
                                    .addListener(closed -> forget(connection));
                            call.start(connection);
                        });
    }

    private void forget(EndpointConnection connection) {
        idle.remove(connection);
    }

    private static ChannelInitializer<SocketChannel> pipeline(EndpointConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(new HttpResponseDecoder())
                        .addLast(connection);
            }
        };
    }
}
