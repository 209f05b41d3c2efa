package org.bronzelug.router.ingress;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.routing.IngressLimits;
import org.bronzelug.router.exchange.Rejection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers' connections on loopback, with a handler in place of the forwarder. */
class CallerConnectionTest {
    private static final long SHORT_IDLE_MILLIS = 400;
    private static final long LONG_IDLE_MILLIS = 20_000;
    private static final int TIMEOUT_MILLIS = 4_000;

    /** Larger than the send and receive buffers of loopback together. */
    private static final int LARGE = 32 * 1_048_576;

    private static final String KEEP = "";
    private static final String CLOSE = "Connection: close\r\n";

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop traffic = group.next();
    private final CountDownLatch unansweredArrived = new CountDownLatch(1);
    private final CountDownLatch unansweredClosed = new CountDownLatch(1);
    private volatile long idleMillis = LONG_IDLE_MILLIS;
    private InetSocketAddress address;
    private IngressServer ingress;

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        ingress = new IngressServer(traffic, address, new Handler());
        ingress.start();
    }

    @AfterEach
    void stop() {
        ingress.stop();
        group.shutdownGracefully();
    }

    /** Responds as the path says. */
    private final class Handler implements RequestHandler {
        @Override
        public CallerListener handle(
                FullHttpRequest request, CallerConnection caller, long arrivedNanos) {
            String path = request.uri();
            request.release();
            switch (path) {
                case "/fast" -> respond(caller, 4);
                case "/large" -> respond(caller, LARGE);
                case "/slow" ->
                        traffic.schedule(
                                () -> respond(caller, 4),
                                2 * SHORT_IDLE_MILLIS,
                                TimeUnit.MILLISECONDS);
                case "/unanswered" -> unansweredArrived.countDown();
                default -> caller.reject(Rejection.of(404, "no route", "check"));
            }
            return new CallerListener() {
                @Override
                public void onCallerClosed() {
                    if (path.equals("/unanswered")) {
                        unansweredClosed.countDown();
                    }
                }

                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onShutdown() {}
            };
        }

        private void respond(CallerConnection caller, int bytes) {
            caller.writeResponse(
                    200,
                    DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                    Unpooled.wrappedBuffer(new byte[bytes]));
        }

        @Override
        public IngressLimits limits() {
            return new IngressLimits(8_192, 65_536, 3_000, idleMillis);
        }

        @Override
        public boolean isStopping() {
            return false;
        }
    }

    private static String get(String path, String moreHeaders) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + moreHeaders + "\r\n";
    }

    private Socket connect(String requests) throws Exception {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private long busyCount() throws Exception {
        return traffic.submit(() -> ingress.busyCount()).get();
    }

    private void closeWhenIdle() throws Exception {
        traffic.submit(() -> ingress.closeConnectionsWhenIdle()).get();
    }

    /** Waits until the timers that have started by now and run for the time have expired. */
    private void awaitTimers(long millis) throws Exception {
        traffic.schedule(() -> {}, millis, TimeUnit.MILLISECONDS).get();
    }

    /** Guards against a stop that truncates a complete response to a caller that reads slowly. */
    @ParameterizedTest
    @ValueSource(strings = {KEEP, CLOSE})
    void stopWaitsForResponseThatIsBeingSent(String header) throws Exception {
        try (Socket socket = connect(get("/large", header))) {
            // The first byte shows that the whole response has been written.
            assertThat(socket.getInputStream().read()).isEqualTo('H');
            long busyWhileSending = busyCount();
            closeWhenIdle();
            assertThat(socket.getInputStream().readAllBytes().length).isAtLeast(LARGE);
            assertThat(busyWhileSending).isEqualTo(1);
            assertThat(busyCount()).isEqualTo(0);
        }
    }

    /** Guards against a stop that waits for connections without a request. */
    @Test
    void stopClosesConnectionWhoseResponseWasSent() throws Exception {
        try (Socket socket = connect(get("/fast", KEEP))) {
            assertThat(socket.getInputStream().read()).isEqualTo('H');
            assertThat(busyCount()).isEqualTo(0);
            closeWhenIdle();
            byte[] rest = socket.getInputStream().readAllBytes();
            assertThat(rest.length).isAtLeast(4);
        }
    }

    /** Guards against an idle limit that truncates a response to a caller that reads slowly. */
    @Test
    void idleLimitBeginsWhenResponseIsSent() throws Exception {
        idleMillis = SHORT_IDLE_MILLIS;
        try (Socket socket = connect(get("/large", KEEP))) {
            assertThat(socket.getInputStream().read()).isEqualTo('H');
            awaitTimers(2 * SHORT_IDLE_MILLIS);
            // The idle limit closes the connection after the response.
            assertThat(socket.getInputStream().readAllBytes().length).isAtLeast(LARGE);
        }
    }

    /** Guards against connections that stay open without limit, since their callers don't read. */
    @ParameterizedTest
    @ValueSource(strings = {KEEP, CLOSE})
    void closesConnectionOfCallerThatDoesNotRead(String header) {
        EmbeddedChannel channel = channelWithUnsentResponse(header);
        advance(channel, CallerConnection.STALLED_CALLER_MILLIS - 1);
        assertThat(channel.isOpen()).isTrue();
        advance(channel, 1);
        assertThat(channel.isOpen()).isFalse();
    }

    /** Guards against a truncated response to a caller that reads slowly, but all the time. */
    @ParameterizedTest
    @ValueSource(strings = {KEEP, CLOSE})
    void keepsConnectionOfCallerThatReadsSlowly(String header) {
        EmbeddedChannel channel = channelWithUnsentResponse(header);
        for (int period = 0; period < 3; period++) {
            channel.unsafe().outboundBuffer().progress(1);
            advance(channel, CallerConnection.STALLED_CALLER_MILLIS);
            assertThat(channel.isOpen()).isTrue();
        }
        advance(channel, CallerConnection.STALLED_CALLER_MILLIS);
        assertThat(channel.isOpen()).isFalse();
    }

    /** Returns a channel with stopped time and a response that the socket does not accept. */
    private EmbeddedChannel channelWithUnsentResponse(String header) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        channel.pipeline()
                .addLast(new FullSendBuffer())
                .addLast(new HttpServerCodec())
                .addLast(new CallerConnection(new Handler(), channel));
        channel.writeInbound(
                Unpooled.copiedBuffer(get("/fast", header), StandardCharsets.US_ASCII));
        channel.runPendingTasks();
        channel.unsafe().outboundBuffer().addFlush();
        return channel;
    }

    private static void advance(EmbeddedChannel channel, long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Stands for a socket whose send buffer is full. */
    private static final class FullSendBuffer extends ChannelOutboundHandlerAdapter {
        @Override
        public void flush(ChannelHandlerContext context) {}
    }

    /** Guards against an idle limit that ends a request which was queued behind another. */
    @ParameterizedTest
    @ValueSource(strings = {"/fast", "/reject", "/slow"})
    void idleLimitDoesNotEndPipelinedRequest(String first) throws Exception {
        idleMillis = SHORT_IDLE_MILLIS;
        try (Socket socket = connect(get(first, KEEP) + get("/slow", KEEP))) {
            String responses =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(responses.split("HTTP/1.1 ", -1)).hasLength(3);
        }
    }

    /** Guards against an endpoint that works on a queued request whose caller has left. */
    @ParameterizedTest
    @ValueSource(strings = {"/fast", "/reject", "/slow"})
    void pipelinedRequestIsToldOfClose(String first) throws Exception {
        try (Socket socket = connect(get(first, KEEP) + get("/unanswered", KEEP))) {
            assertThat(unansweredArrived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        }
        assertThat(unansweredClosed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }
}
