package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a call to the platform, a runner or a peer that takes a malformed response for one
 * that states a success, a conflict or an empty list.
 */
class MalformedHeadCallTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String BODY = "Content-Length: 2\r\n\r\n{}";

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static CompletableFuture<HttpClientResponse> call(PooledHttpClient client) {
        return client.call(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n" + BODY,
                "HTTP/1.1 20 OK\r\n" + BODY,
                "HTTP/1.1 0200 OK\r\n" + BODY,
                "HTTP/1.1 +200 OK\r\n" + BODY,
                "HTTP/1.1 600 OK\r\n" + BODY,
                "HTTP/2.0 200 OK\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nName : x\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nX: x\r\n folded\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nContent Length: 2\r\nConnection: close\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n" + BODY,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + BODY,
                "HTTP/1.1 103 Early\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + BODY,
            })
    void aMalformedHeadFailsTheCall(String response) throws Exception {
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> {
                            RawServer.write(
                                    socket, number == 0 ? response : "HTTP/1.1 200 OK\r\n" + BODY);
                            return false;
                        })) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            CompletableFuture<HttpClientResponse> malformed = call(client);
            assertThrows(
                    ExecutionException.class,
                    () -> malformed.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertThat(call(client).get().status()).isEqualTo(200);
            client.close();
        }
    }
}
