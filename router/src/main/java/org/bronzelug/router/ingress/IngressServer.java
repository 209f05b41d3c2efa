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
 * Accepts callers' connections. Its connections are confined to the traffic thread; start and stop
 * may be called by any thread.
 */
public final class IngressServer implements Service {
    public static final String NAME = "ingress";

    /** Connections that the kernel keeps until they are accepted: a burst of a whole fleet's. */
    private static final int BACKLOG = 1_024;

    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** Reads of one connection before the next one has its turn. */
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
     * Reads on until nothing is left. A request whose caller has closed the connection is then seen
     * together with the close.
     */
    private static AdaptiveRecvByteBufAllocator readUntilEmpty() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        allocator.respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TURN);
        return allocator;
    }

    /** Takes no new connections; those that are open go on. Call on the traffic thread. */
    public void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /** Ends each connection as soon as no answer is under way. Call on the traffic thread. */
    public void closeConnectionsWhenIdle() {
        Set.copyOf(connections).forEach(CallerConnection::endWhenIdle);
    }

    /** Requests whose answers are under way. Call on the traffic thread. */
    public long busyCount() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }

    @Override
    public void stop() {
        listener.ifPresent(Channel::close);
    }

    /** Sets a new connection up. */
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
