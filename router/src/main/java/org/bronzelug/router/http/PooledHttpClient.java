package org.bronzelug.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * HTTP client with a connection pool for one address: the platform, the order interface of a
 * runner, or a peer.
 *
 * <p>Invariant: a connection on which a call has failed or timed out is closed, so that a late
 * response is never taken for the response to the next call. Futures complete on the event loop.
 * Confined to that loop, except for {@link #call} and {@link #close}, which any thread may call.
 */
public final class PooledHttpClient {
    /** Larger than the largest response of the platform, a list page of a megabyte plus framing. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 * 1_048_576;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Deque<Connection> idle = new ArrayDeque<>();

    public PooledHttpClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /**
     * Sends a request. The future completes with the response, or with an {@link IOException} if no
     * complete response arrives within the timeout.
     */
    public CompletableFuture<HttpClientResponse> call(
            HttpMethod method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        return callIf(() -> true, method, path, headers, body, timeoutMillis);
    }

    /**
     * Sends a request like {@link #call}, unless it may no longer be sent once a connection stands,
     * which can take more than a second. In that case the future fails, and nothing was sent.
     *
     * @param maySend evaluated on the event loop right before the request is written
     */
    public CompletableFuture<HttpClientResponse> callIf(
            BooleanSupplier maySend,
            HttpMethod method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        CompletableFuture<HttpClientResponse> response = new CompletableFuture<>();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        headers.forEach((name, value) -> request.headers().set(name, value));
        if (body.length > 0 || !method.equals(HttpMethod.GET)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        loop.execute(() -> begin(maySend, request, response, timeoutMillis));
        return response;
    }

    private void begin(
            BooleanSupplier maySend,
            FullHttpRequest request,
            CompletableFuture<HttpClientResponse> response,
            long timeoutMillis) {
        Connection idleConnection = idle.pollFirst();
        while (idleConnection != null && !idleConnection.channel.isActive()) {
            idleConnection = idle.pollFirst();
        }
        if (idleConnection != null) {
            idleConnection.sendIf(maySend, request, response, timeoutMillis);
            return;
        }
        Connection connection = new Connection();
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, SocketSettings.CONNECT_MILLIS)
                        .handler(connection.pipeline());
        SocketSettings.enableKeepAlive(bootstrap);
        bootstrap
                .connect(address)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                request.release();
                                response.completeExceptionally(
                                        new IOException(
                                                "no connection to " + address, connected.cause()));
                                return;
                            }
                            connection.channel = connected.channel();
                            connection.sendIf(maySend, request, response, timeoutMillis);
                        });
    }

    /** Closes all idle connections. */
    public void close() {
        loop.execute(this::closeIdle);
    }

    private void closeIdle() {
        // Copied, since closing a connection removes it from the queue during the iteration.
        List.copyOf(idle).forEach(connection -> connection.channel.close());
        idle.clear();
    }

    /** One connection with at most one call in flight. */
    private final class Connection {
        private Channel channel;
        private Optional<CompletableFuture<HttpClientResponse>> pendingResponse = Optional.empty();
        private Optional<ScheduledFuture<?>> timeout = Optional.empty();

        private void sendIf(
                BooleanSupplier maySend,
                FullHttpRequest request,
                CompletableFuture<HttpClientResponse> response,
                long timeoutMillis) {
            if (maySend.getAsBoolean()) {
                send(request, response, timeoutMillis);
                return;
            }
            request.release();
            idle.addFirst(this);
            response.completeExceptionally(
                    new IOException("not sent to " + address + ": may no longer be sent"));
        }

        private void send(
                FullHttpRequest request,
                CompletableFuture<HttpClientResponse> response,
                long timeoutMillis) {
            pendingResponse = Optional.of(response);
            timeout =
                    Optional.of(
                            loop.schedule(
                                    () -> onTimeout(timeoutMillis),
                                    timeoutMillis,
                                    TimeUnit.MILLISECONDS));
            channel.writeAndFlush(request);
        }

        /**
         * Closes the idle connections as well. They were opened at the same time over the same
         * network path, and each one that no longer works either would make one more call time out.
         */
        private void onTimeout(long timeoutMillis) {
            fail("no response within " + timeoutMillis + " ms");
            closeIdle();
        }

        private ChannelInitializer<SocketChannel> pipeline() {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(SocketChannel opened) {
                    opened.pipeline()
                            .addLast(new HttpClientCodec())
                            .addLast(new HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES))
                            .addLast(new ResponseHandler(Connection.this));
                }
            };
        }

        private void complete(FullHttpResponse response) {
            Optional<CompletableFuture<HttpClientResponse>> pending = pendingResponse;
            pendingResponse = Optional.empty();
            timeout.ifPresent(running -> running.cancel(false));
            if (pending.isEmpty() || response.decoderResult().isFailure()) {
                channel.close();
                pending.ifPresent(
                        future ->
                                future.completeExceptionally(
                                        new IOException("malformed response")));
                return;
            }
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(this);
            } else {
                channel.close();
            }
            pending.get()
                    .complete(
                            new HttpClientResponse(
                                    response.status().code(), response.headers(), body));
        }

        private void fail(String cause) {
            Optional<CompletableFuture<HttpClientResponse>> pending = pendingResponse;
            pendingResponse = Optional.empty();
            timeout.ifPresent(running -> running.cancel(false));
            idle.remove(this);
            channel.close();
            pending.ifPresent(
                    future ->
                            future.completeExceptionally(new IOException(address + ": " + cause)));
        }
    }

    /** Passes the events of a channel to its connection. */
    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Connection connection;

        private ResponseHandler(Connection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            connection.complete(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connection.fail(String.valueOf(cause.getMessage()));
        }
    }
}
