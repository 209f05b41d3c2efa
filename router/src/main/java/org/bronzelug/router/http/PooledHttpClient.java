package org.bronzelug.router.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * HTTP client with a connection pool for one address: the platform, the order interface of a
 * runner, or a peer.
 *
 * <p>Invariant: a connection on which a call has failed or timed out is closed, so that a late
 * response is never taken for the response to the next call ({@link ClientConnection}). Futures
 * complete on the event loop. Confined to that loop, except for {@link #call} and {@link #close},
 * which any thread may call.
 */
public final class PooledHttpClient {
    /** Larger than the largest response of the platform, a list page of a megabyte plus framing. */
    private static final int LARGE_RESPONSE_BYTES = 8 * 1_048_576;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maximumResponseBytes;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();

    public PooledHttpClient(EventLoop loop, InetSocketAddress address) {
        this(loop, address, LARGE_RESPONSE_BYTES);
    }

    /**
     * @param maximumResponseBytes size of a response's body in bytes above which the call fails
     */
    public PooledHttpClient(EventLoop loop, InetSocketAddress address, int maximumResponseBytes) {
        this.loop = loop;
        this.address = address;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    /**
     * Sends a request. The future completes with the response, or with an {@link IOException} if no
     * complete response arrives within the timeout.
     *
     * @param method any method whose responses have bodies, so neither HEAD nor CONNECT
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
        ClientConnection idleConnection = idle.pollFirst();
        while (idleConnection != null && !idleConnection.isOpen()) {
            idleConnection = idle.pollFirst();
        }
        if (idleConnection != null) {
            sendIf(idleConnection, maySend, request, response, timeoutMillis);
            return;
        }
        ClientConnection connection =
                new ClientConnection(address, new IdleConnections(), maximumResponseBytes);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(ClientSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, SocketSettings.CONNECT_MILLIS)
                        // Distinguishes the server's close from any other end of the connection.
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .handler(pipeline(connection));
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
                            connection.bind(connected.channel());
                            sendIf(connection, maySend, request, response, timeoutMillis);
                        });
    }

    /** Closes all idle connections. */
    public void close() {
        loop.execute(this::closeIdle);
    }

    private void closeIdle() {
        // Copied, since closing a connection removes it from the queue during the iteration.
        List.copyOf(idle).forEach(ClientConnection::close);
        idle.clear();
    }

    private ChannelInitializer<SocketChannel> pipeline(ClientConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel opened) {
                opened.pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(connection.inboundGuard())
                        .addLast(connection);
            }
        };
    }

    private void sendIf(
            ClientConnection connection,
            BooleanSupplier maySend,
            FullHttpRequest request,
            CompletableFuture<HttpClientResponse> response,
            long timeoutMillis) {
        if (maySend.getAsBoolean()) {
            connection.send(request, response, timeoutMillis);
            return;
        }
        request.release();
        idle.addFirst(connection);
        response.completeExceptionally(
                new IOException("not sent to " + address + ": may no longer be sent"));
    }

    /** Keeps the connections that no call uses. Confined to the event loop. */
    private final class IdleConnections implements ClientConnection.Pool {
        @Override
        public void keep(ClientConnection connection) {
            idle.addFirst(connection);
        }

        @Override
        public void remove(ClientConnection connection) {
            idle.remove(connection);
        }

        /**
         * Closes the idle connections as well. They were opened at the same time over the same
         * network path, and each one that no longer works either would make one more call time out.
         */
        @Override
        public void onTimeout() {
            closeIdle();
        }
    }
}
