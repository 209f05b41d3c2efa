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
 * The connection pool of one endpoint. A request uses the most recently used idle connection, or a
 * new one if no idle connection is usable. Confined to the traffic thread.
 */
public final class EndpointConnections {
    /**
     * How long before an endpoint's idle limit an idle connection is not used any more. The
     * endpoint closes the connection at its limit, and a request sent at that moment may or may not
     * have run. Endpoints state their limits in whole seconds, and links have delays of
     * milliseconds.
     */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    private final EventLoop traffic;
    private final InetSocketAddress address;
    private final WireFormat wire;
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private boolean retired;

    public EndpointConnections(EventLoop traffic, InetSocketAddress address, WireFormat wire) {
        this.traffic = traffic;
        this.address = address;
        this.wire = wire;
    }

    /** Sends a request on an idle connection, or on a new one. */
    public EndpointCall send(
            FullHttpRequest request, String requestId, ResponseListener listener, long nowNanos) {
        EndpointCall call = new EndpointCall(request, requestId, listener);
        while (!idle.isEmpty()) {
            EndpointConnection candidate = idle.pollFirst();
            if (candidate.isUsable(nowNanos, IDLE_MARGIN_MILLIS)) {
                call.start(candidate, ConnectionUse.KEPT);
                return call;
            }
            candidate.close();
        }
        connect(call);
        return call;
    }

    /** Closes the idle connections; requests in flight continue. */
    public void closeIdle() {
        // Copied, since closing a connection removes it from the queue during the iteration.
        List.copyOf(idle).forEach(EndpointConnection::close);
        idle.clear();
    }

    /** Closes the idle connections now and each other one when its request has ended. */
    public void retire() {
        retired = true;
        closeIdle();
    }

    private void keep(EndpointConnection connection) {
        if (retired) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    private void connect(EndpointCall call) {
        EndpointConnection connection = new EndpointConnection(wire, this::keep);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(traffic)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, SocketSettings.CONNECT_MILLIS)
                        .handler(pipeline(connection));
        SocketSettings.enableKeepAlive(bootstrap);
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
                            call.start(connection, ConnectionUse.NEW);
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
