package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a call that keeps all that a server sends without end, until the process has no
 * memory left.
 */
class EndlessResponseCallTest {
    private static final long TIMEOUT_MILLIS = 2_000;

    /** What a call may read, and what the sockets' buffers hold. */
    private static final long MOST_BYTES = 24L * 1_048_576;

    private static final long FLOOD_BYTES = 256L * 1_048_576;
    private static final int BLOCK_BYTES = 16_384;

    /** Where the bytes come. */
    private enum Place {
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        FIELD("HTTP/1.1 200 OK\r\nX: ", "a"),
        FIELDS("HTTP/1.1 200 OK\r\n", "X: a\r\n"),
        INTERIM_RESPONSES("", "HTTP/1.1 102 Processing\r\n\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "a"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\naaaaa\r\n"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"),
        LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", "a"),
        NO_LENGTH("HTTP/1.1 200 OK\r\n\r\n", "a"),
        BEHIND_A_RESPONSE("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "a");

        private final String beginning;
        private final String repeated;

        Place(String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }
    }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong sentBytes = new AtomicLong();
    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private boolean flood(Socket socket, Place place) throws Exception {
        RawServer.write(socket, place.beginning);
        String block = place.repeated.repeat(BLOCK_BYTES / place.repeated.length());
        try {
            while (sentBytes.get() < FLOOD_BYTES) {
                RawServer.write(socket, block);
                sentBytes.addAndGet(block.length());
            }
        } catch (IOException closedByClient) {
            closed.complete(null);
        }
        return false;
    }

    @ParameterizedTest
    @EnumSource
    void aFloodEndsTheCall(Place place) throws Exception {
        try (RawServer server = new RawServer((socket, number, path) -> flood(socket, place))) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            CompletableFuture<HttpClientResponse> call =
                    client.call(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT_MILLIS);
            if (place != Place.BEHIND_A_RESPONSE) {
                assertThrows(
                        ExecutionException.class,
                        () -> call.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
            closed.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(sentBytes.get()).isAtMost(MOST_BYTES);
            client.close();
        }
    }
}
