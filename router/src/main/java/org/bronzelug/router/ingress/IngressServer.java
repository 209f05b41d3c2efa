package org.bronzelug.router.ingress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;

/**
 * Accepts callers' connections. The connections are confined to the traffic thread; {@link #start}
 * and {@link #stop} may be called by any thread.
 */
public final class IngressServer implements Service {
    public static final String NAME = "ingress";

    /** Accept backlog: the callers of a whole fleet may connect at the same time. */
    private static final int BACKLOG = 1_024;

    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** Maximum number of consecutive reads from one connection before the next one is served. */
    private static final int READS_PER_TURN = 16;

    private final EventLoop traffic;
    private final InetSocketAddress address;
    private final RequestHandler handler;
    private final Set<CallerConnection> connections = new HashSet<>();
    private Optional<Channel> listener = Optional.empty();

    public IngressServer(EventLoop traffic, InetSocketAddress address, RequestHandler handler) {
        this.traffic = traffic;
        this.address = address;
        this.handler = handler;
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
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                        .childHandler(new ConnectionSetup());
        try {
            listener = Optional.of(bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "cannot listen for callers on " + address + ": free the port or name another",
                    failed);
        }
    }

    /**
     * Returns an allocator with which a connection is read until no more data is available. If a
     * caller has already closed its connection, the close is then read together with the request.
     */
    private static AdaptiveRecvByteBufAllocator readUntilEmpty() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN);
        return allocator;
    }

    /** Accepts no new connections; open ones continue. Must be called on the traffic thread. */
    public void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /**
     * Closes each connection when no response is in progress or unsent. Must be called on the
     * traffic thread.
     */
    public void closeConnectionsWhenIdle() {
        Set.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /**
     * Has the requests in progress answered, since the VM ends. Must be called on the traffic
     * thread.
     */
    public void answerOpenRequests() {
        Set.copyOf(connections).forEach(CallerConnection::shutDown);
    }

    /**
     * Returns the number of connections with a request or an unsent response. Must be called on the
     * traffic thread.
     */
    public long busyCount() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }

    @Override
    public void stop() {
        listener.ifPresent(Channel::close);
    }

    /** Sets up the pipeline of a new connection. */
    private final class ConnectionSetup extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            HttpDecoderConfig decoder =
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                            .setMaxHeaderSize(handler.limits().maximumHeaderBytes());
            CallerConnection connection = new CallerConnection(handler, channel);
            connections.add(connection);
            channel.closeFuture().addListener(closed -> connections.remove(connection));
            channel.pipeline().addLast(new HttpServerCodec(decoder)).addLast(connection);
        }
    }
}
