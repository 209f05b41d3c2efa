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
 * Answers small calls at one address from what the control thread knows: readiness, addresses,
 * metrics, a peer's reads. The function is called on the control thread, and completes its answer
 * there; a peer's read may wait for a change.
 */
public final class HttpResponder implements Service {
    private static final int MAXIMUM_REQUEST_BYTES = 65_536;

    private final String name;
    private final EventLoop control;
    private final InetSocketAddress address;
    private final Function<String, CompletableFuture<SmallResponse>> answers;
    private Optional<Channel> listener = Optional.empty();

    /**
     * @param answers from the request's path and query to its answer
     */
    public HttpResponder(
            String name,
            EventLoop control,
            InetSocketAddress address,
            Function<String, CompletableFuture<SmallResponse>> answers) {
        this.name = name;
        this.control = control;
        this.address = address;
        this.answers = answers;
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

    /** Sets a connection up. */
    private final class ConnectionSetup extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                    .addLast(new CallHandler());
        }
    }

    /** Answers the requests of a connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            answers.apply(request.uri()).thenAccept(answer -> write(context, answer, keepAlive));
        }

        private void write(ChannelHandlerContext context, SmallResponse answer, boolean keepAlive) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
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
     * An answer. The body is not changed after construction.
     *
     * @param status of HTTP
     * @param contentType of the body
     * @param body its bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record SmallResponse(int status, String contentType, byte[] body) {}
}
