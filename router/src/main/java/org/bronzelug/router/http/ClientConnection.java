package org.bronzelug.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bronzelug.router.endpoint.BodyFraming;

/**
 * One connection of a {@link PooledHttpClient}, which carries one call at a time.
 *
 * <p>Responses have no id, so that only their place on the connection tells which call they belong
 * to. Invariants: each response is decoded by a decoder of its own, which is empty when the request
 * is sent. The connection is kept only if the request was written completely, its response was read
 * completely and nothing followed it; it is closed at the first byte that arrives while no call is
 * in progress. A call fails if bytes follow its response at once, since either can be the late
 * response to an earlier call. A response without a length is complete only if the server's orderly
 * close was read, and no reset follows it if the server may not have read the whole request.
 * Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Maximum number of interim responses (1xx) to one request. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    private static final String CLOSED_BY_SERVER = "connection closed";
    private static final String RESET_BY_SERVER = "connection reset behind its close";

    private final InetSocketAddress address;
    private final Pool pool;
    private final int maximumResponseBytes;
    private Channel channel;
    private Optional<CompletableFuture<HttpClientResponse>> pendingResponse = Optional.empty();
    private Optional<ScheduledFuture<?>> timeout = Optional.empty();
    private Optional<ChannelFuture> written = Optional.empty();
    private Optional<HttpResponse> head = Optional.empty();
    private Optional<ResponseDecoder> decoder = Optional.empty();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int interimResponses;
    private boolean closedByServer;
    private boolean requestReadInParts;
    private boolean followed;

    /** The connections to one address. */
    interface Pool {
        /** Takes back a connection that can carry another call. */
        void keep(ClientConnection connection);

        /** Removes a connection that is closed. */
        void remove(ClientConnection connection);

        /** Is notified that a call got no response in time. */
        void onTimeout();
    }

    ClientConnection(InetSocketAddress address, Pool pool, int maximumResponseBytes) {
        this.address = address;
        this.pool = pool;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    void bind(Channel opened) {
        channel = opened;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** Sends a request; the future completes with its response. */
    void send(
            FullHttpRequest request,
            CompletableFuture<HttpClientResponse> response,
            long timeoutMillis) {
        pendingResponse = Optional.of(response);
        head = Optional.empty();
        body = new ByteArrayOutputStream();
        interimResponses = 0;
        followed = false;
        ResponseDecoder newDecoder = new ResponseDecoder();
        decoder = Optional.of(newDecoder);
        channel.pipeline().addBefore(channel.pipeline().context(this).name(), null, newDecoder);
        timeout =
                Optional.of(
                        channel.eventLoop()
                                .schedule(
                                        () -> onTimeout(timeoutMillis),
                                        timeoutMillis,
                                        TimeUnit.MILLISECONDS));
        requestReadInParts = ClientSocketChannel.isReadInParts(request.content().readableBytes());
        written = Optional.of(channel.writeAndFlush(request));
    }

    private void onTimeout(long timeoutMillis) {
        fail(new SocketTimeoutException(address + ": no response within " + timeoutMillis + " ms"));
        pool.onTimeout();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpObject object) {
                read(object);
            } else {
                // Left over in the decoder that was removed at the end of the response.
                followed = true;
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject object) {
        if (pendingResponse.isEmpty()) {
            return;
        }
        if (object.decoderResult().isFailure()) {
            fail("malformed response");
            return;
        }
        if (object instanceof HttpResponse response) {
            readHead(response);
        }
        if (object instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        if (StatusLines.areIn(response)) {
            fail("the head of the response contains another one");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimResponses++;
            boolean switching = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (switching || interimResponses > MAXIMUM_INTERIM_RESPONSES) {
                fail("interim response " + response.status() + ", or too many");
            }
            return;
        }
        head = Optional.of(response);
    }

    private void readContent(HttpContent content) {
        if (pendingResponse.isEmpty() || head.isEmpty()) {
            return;
        }
        if (content.content().readableBytes() > maximumResponseBytes - body.size()) {
            fail("the response is too large");
            return;
        }
        append(content.content());
        if (content instanceof LastHttpContent) {
            complete(head.get());
        }
    }

    private void append(ByteBuf data) {
        try {
            data.readBytes(body, data.readableBytes());
        } catch (IOException impossible) {
            throw new UncheckedIOException("an array refuses no bytes", impossible);
        }
    }

    private void complete(HttpResponse whole) {
        boolean endsWithConnection = endsWithConnection(whole);
        if (endsWithConnection && !closedByServer) {
            fail("connection lost within a response that has no length");
            return;
        }
        removeDecoder();
        if (followed) {
            fail("bytes follow the response, so that it may belong to another call");
            return;
        }
        CompletableFuture<HttpClientResponse> response = endCall().orElseThrow();
        boolean writtenCompletely = written.map(ChannelFuture::isSuccess).orElse(false);
        boolean reusable = !endsWithConnection && !closedByServer && HttpUtil.isKeepAlive(whole);
        if (reusable && writtenCompletely && channel.isActive()) {
            pool.keep(this);
        } else {
            channel.close();
        }
        response.complete(
                new HttpClientResponse(whole.status().code(), whole.headers(), body.toByteArray()));
    }

    private static boolean endsWithConnection(HttpResponse response) {
        return BodyFraming.of(response) == BodyFraming.CONNECTION_CLOSE;
    }

    /** Removes the decoder, which passes on what it has read beyond the end of the response. */
    private void removeDecoder() {
        decoder.ifPresent(used -> channel.pipeline().remove(used));
        decoder = Optional.empty();
    }

    private Optional<CompletableFuture<HttpClientResponse>> endCall() {
        Optional<CompletableFuture<HttpClientResponse>> pending = pendingResponse;
        pendingResponse = Optional.empty();
        timeout.ifPresent(running -> running.cancel(false));
        return pending;
    }

    private void fail(String cause) {
        fail(new IOException(address + ": " + cause));
    }

    private void fail(IOException failure) {
        Optional<CompletableFuture<HttpClientResponse>> pending = endCall();
        pool.remove(this);
        channel.close();
        pending.ifPresent(response -> response.completeExceptionally(failure));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            fail(CLOSED_BY_SERVER);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(CLOSED_BY_SERVER);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    /**
     * Returns a handler for what arrives, to be placed before the decoder. It notes the server's
     * orderly close before the decoder takes that for the end of a response, and closes an idle
     * connection at the first byte.
     */
    ChannelHandler inboundGuard() {
        return new InboundGuard();
    }

    /** Checks what arrives before it is decoded. Confined to the event loop. */
    private final class InboundGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (pendingResponse.isEmpty()) {
                ReferenceCountUtil.release(message);
                fail("bytes that no call waits for");
                return;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                boolean unframed = head.filter(ClientConnection::endsWithConnection).isPresent();
                if (unframed
                        && requestReadInParts
                        && channel instanceof ClientSocketChannel direct) {
                    direct.verifyClose(
                            () -> passClose(context, event), () -> fail(RESET_BY_SERVER));
                    return;
                }
                passClose(context, event);
                return;
            }
            context.fireUserEventTriggered(event);
        }

        private void passClose(ChannelHandlerContext context, Object event) {
            closedByServer = true;
            context.fireUserEventTriggered(event);
        }
    }
}
