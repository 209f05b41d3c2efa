package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
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
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a call that takes a response for whole, or waits for its timeout, although the
 * server has ended the connection within the head: an empty list of objects, or an accepted order.
 */
class CutOffCallTest {
    /** Longer than the future is waited for, so that a call which waits for it is noticed. */
    private static final long TIMEOUT_MILLIS = 30_000;

    private static final long WAIT_MILLIS = 5_000;

    /** Time in which the client usually reads what was written. */
    private static final long READ_MILLIS = 2;

    private static final int LARGE_BODY_BYTES = 1_000_000;

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    private static final List<String> HEADS =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.0 200 OK\r\nServer: s\r\n\r\n",
                    "HTTP/1.1 204 None\r\nServer: s\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 204 None\r\n\r\n");

    /** How the server ends a connection. */
    private enum End {
        CLOSE,
        RESET,
        HALF_CLOSE
    }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    private static Stream<Arguments> headsAndEnds() {
        return HEADS.stream()
                .flatMap(head -> Stream.of(End.values()).map(end -> Arguments.of(head, end)));
    }

    /** The connection is a kept one; the next call is made on a new one. */
    @ParameterizedTest
    @MethodSource("headsAndEnds")
    void aHeadThatIsCutOffFailsTheCall(String head, End end) throws Exception {
        StringBuilder wrong = new StringBuilder();
        for (int cut = 0; cut < head.length(); cut++) {
            String begin = head.substring(0, cut);
            for (boolean inTwoWrites : new boolean[] {false, true}) {
                try (RawServer server =
                        new RawServer(
                                (socket, number, path) ->
                                        number == 1
                                                ? cutOff(socket, begin, inTwoWrites, end)
                                                : respond(socket))) {
                    PooledHttpClient client = new PooledHttpClient(loop, server.address());
                    String calls = call(client) + ", " + call(client) + ", " + call(client);
                    if (!calls.equals("200 whole, failed, 200 whole")) {
                        wrong.append('\n').append(calls).append(" after ").append(begin);
                    }
                    client.close();
                }
            }
        }
        assertThat(wrong.toString()).isEmpty();
    }

    /**
     * Guards against a part of a response to a write that looks whole, since the server closes its
     * socket before it has read the request: a reset follows its FIN.
     */
    @ParameterizedTest
    @EnumSource(End.class)
    void aResponseBeforeTheEndOfTheRequestFailsTheCall(End end) throws Exception {
        byte[] body = new byte[LARGE_BODY_BYTES];
        try (RawServer server =
                new RawServer((socket, number, path) -> endWithinRequest(socket, end))) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            CompletableFuture<HttpClientResponse> call =
                    client.call(HttpMethod.PUT, "/", Map.of(), body, TIMEOUT_MILLIS);
            assertThrows(
                    ExecutionException.class, () -> call.get(WAIT_MILLIS, TimeUnit.MILLISECONDS));
            client.close();
        }
    }

    private static boolean endWithinRequest(Socket socket, End end) throws Exception {
        RawServer.write(socket, "HTTP/1.1 200 OK\r\n\r\n{}");
        TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        if (end == End.HALF_CLOSE) {
            socket.shutdownOutput();
            TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        }
        if (end != End.CLOSE) {
            socket.setSoLinger(true, 0);
        }
        return false;
    }

    private static boolean respond(Socket socket) throws IOException {
        RawServer.write(socket, WHOLE);
        return true;
    }

    /** Writes the begin of a response; returns whether the connection is read further. */
    private static boolean cutOff(Socket socket, String begin, boolean inTwoWrites, End end)
            throws Exception {
        int first = inTwoWrites ? begin.length() / 2 : begin.length();
        RawServer.write(socket, begin.substring(0, first));
        if (inTwoWrites) {
            TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
            RawServer.write(socket, begin.substring(first));
            TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
        }
        if (end == End.RESET) {
            socket.setSoLinger(true, 0);
        } else if (end == End.HALF_CLOSE) {
            socket.shutdownOutput();
        }
        return end == End.HALF_CLOSE;
    }

    /** Returns the status and the body of the response, or "failed". */
    private static String call(PooledHttpClient client) throws Exception {
        try {
            HttpClientResponse response =
                    client.call(HttpMethod.GET, "/", Map.of(), new byte[0], TIMEOUT_MILLIS)
                            .get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            return response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII);
        } catch (ExecutionException failed) {
            return "failed";
        }
    }
}
