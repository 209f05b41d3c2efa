package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against repeated timeouts after a network path fails: the idle connections that were
 * opened over it do not work any more but are still open.
 */
class PooledHttpClientTest {
    private static final long TIMEOUT_MILLIS = 400;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /**
     * After a timeout, calls must use new connections. Otherwise one idle connection after the
     * other would make a call time out, although the server responds on new ones.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void idleConnectionsAreNotUsedAfterATimeout(int connections) throws Exception {
        try (SilencedServer server = new SilencedServer(connections)) {
            PooledHttpClient client = new PooledHttpClient(group.next(), server.address());
            List<CompletableFuture<HttpClientResponse>> first =
                    Stream.generate(() -> call(client)).limit(connections).toList();
            for (CompletableFuture<HttpClientResponse> response : first) {
                assertThat(response.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
            }
            assertThrows(ExecutionException.class, () -> call(client).get(10, TimeUnit.SECONDS));
            assertThat(call(client).get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
        }
    }

    /**
     * Guards against an order that a VM sends after its right to give orders has expired, while the
     * connection for it was opened.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestThatMayNoLongerBeSentIsNotSent(boolean connected) throws Exception {
        try (SilencedServer server = new SilencedServer(1)) {
            PooledHttpClient client = new PooledHttpClient(group.next(), server.address());
            if (connected) {
                assertThat(call(client).get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
            }
            int requestsBefore = server.requestCount();
            CompletableFuture<HttpClientResponse> response =
                    client.callIf(
                            () -> false,
                            HttpMethod.POST,
                            "/",
                            Map.of(),
                            new byte[0],
                            TIMEOUT_MILLIS);
            assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
            TimeUnit.MILLISECONDS.sleep(TIMEOUT_MILLIS);
            assertThat(server.requestCount()).isEqualTo(requestsBefore);
        }
    }

    private static CompletableFuture<HttpClientResponse> call(PooledHttpClient client) {
        return client.call(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT_MILLIS);
    }

    /**
     * A server that responds once on each of its first connections, after a request has arrived on
     * all of them, and never again on these.
     */
    private static final class SilencedServer implements AutoCloseable {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final int silentConnections;
        private int requestCount;

        private SilencedServer(int silentConnections) throws IOException {
            this.silentConnections = silentConnections;
            Thread.ofVirtual().start(this::accept);
        }

        private synchronized int requestCount() {
            return requestCount;
        }

        private InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        }

        private void accept() {
            try {
                for (int number = 0; true; number++) {
                    Socket socket = server.accept();
                    boolean silent = number < silentConnections;
                    Thread.ofVirtual().start(() -> serve(socket, silent));
                }
            } catch (IOException closed) {
                // The test has closed the server.
            }
        }

        private void serve(Socket socket, boolean silent) {
            try (socket) {
                BufferedReader reader =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                boolean responds = true;
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (line.isEmpty() && responds) {
                        awaitOtherConnections(silent);
                        socket.getOutputStream()
                                .write(
                                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                                .getBytes(StandardCharsets.US_ASCII));
                        responds = !silent;
                    }
                }
            } catch (IOException | InterruptedException closed) {
                // The client has closed the connection.
            }
        }

        /** Waits until all silent connections have a request, so that no two calls share one. */
        private synchronized void awaitOtherConnections(boolean silent)
                throws InterruptedException {
            requestCount++;
            notifyAll();
            while (silent && requestCount < silentConnections) {
                wait();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
