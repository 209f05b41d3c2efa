package org.bronzelug.router.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.bronzelug.kernel.Service;
import org.bronzelug.kernel.ServiceException;

/**
 * HTTP server for small requests at one address: readiness, addresses, metrics, and peers' reads of
 * platform objects. Responses are created from the state of the control thread: the response
 * function is called on that thread, and completes its future there. The response to a peer's read
 * may be delayed until an object changes.
 */
public final class SmallHttpServer implements Service {
    private static final int MAXIMUM_REQUEST_BYTES = 65_536;

    private final String name;
    private final EventLoop control;
    private final InetSocketAddress address;
    private final Function<String, CompletableFuture<SmallResponse>> responses;
    private Optional<Channel> listener = Optional.empty();

    /**
     * @param responses a function that returns the response for a request's path and query
     */
    public SmallHttpServer(
            String name,
            EventLoop control,
            InetSocketAddress address,
            Function<String, CompletableFuture<SmallResponse>> responses) {
        this.name = name;
        this.control = control;
        this.address = address;
        this.responses = responses;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() throws ServiceException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(control)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionSetup());
        try {
            listener = Optional.of(bootstrap.bind(address).syncUninterruptibly().channel());
        } catch (RuntimeException failed) {
            throw new ServiceException(
                    "cannot listen on " + address + ": free the port or name another", failed);
        }
    }

    @Override
    public void stop() {
        listener.ifPresent(Channel::close);
    }

    /** Sets up the pipeline of a new connection. */
    private final class ConnectionSetup extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                    .addLast(new CallHandler());
        }
    }

    /** Handles the requests of a connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            responses
                    .apply(request.uri())
                    .thenAccept(smallResponse -> write(context, smallResponse, keepAlive));
        }

        private void write(
                ChannelHandlerContext context, SmallResponse smallResponse, boolean keepAlive) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(smallResponse.status()),
                            Unpooled.wrappedBuffer(smallResponse.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, smallResponse.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, smallResponse.body().length);
            if (keepAlive) {
                context.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * A response. Immutable; the body must not be changed after construction.
     *
     * @param status the HTTP status code
     * @param contentType the media type of the body
     * @param body the bytes of the body
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record SmallResponse(int status, String contentType, byte[] body) {}
}
