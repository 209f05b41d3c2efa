package org.bronzelug.router.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a call that gets the response to another call, or parts of two responses: a list
 * of other objects, a lease or a version that was never granted. Responses have no id here, so that
 * a connection is all that tells which call they belong to.
 */
class PooledHttpClientResponseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long SHORT_TIMEOUT_MILLIS = 500;

    /** Time for the client to close a connection. */
    private static final int CLOSE_MILLIS = 500;

    private static final String EXTRA =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nextra";
    private static final String EXTRA_CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nextra\r\n0\r\n\r\n";
    private static final String EXTRA_FAILURE =
            "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nextra";
    private static final String EXTRA_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\nextra";
    private static final List<String> EXTRAS =
            List.of(EXTRA, EXTRA_CHUNKED, EXTRA_FAILURE, EXTRA_WITHOUT_LENGTH);

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /** Returns the response to the request with a path: a failure, so that no success is right. */
    private static String failureTo(String path) {
        return "HTTP/1.1 404 Not Found\r\nContent-Length: " + path.length() + "\r\n\r\n" + path;
    }

    private static String call(PooledHttpClient client, String path) throws Exception {
        return call(client, path, TIMEOUT_MILLIS);
    }

    /** Returns the status and the body of the response, or "failed". */
    private static String call(PooledHttpClient client, String path, long timeoutMillis)
            throws Exception {
        try {
            HttpClientResponse response =
                    client.call(HttpMethod.GET, path, Map.of(), new byte[0], timeoutMillis)
                            .get(10, TimeUnit.SECONDS);
            return response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII);
        } catch (ExecutionException failed) {
            return "failed";
        }
    }

    /** Whole responses, and such that are cut off at any byte. */
    static Stream<String> surplus() {
        Stream<String> cutOff =
                EXTRAS.stream()
                        .flatMap(
                                extra ->
                                        IntStream.range(1, extra.length())
                                                .mapToObj(cut -> extra.substring(0, cut)));
        return Stream.concat(EXTRAS.stream(), cutOff);
    }

    /** The surplus is in the same read as the end of the response. */
    @Test
    void bytesRightBehindAResponseReachNoLaterCall() throws Exception {
        Outcomes wrong = new Outcomes();
        for (String surplus : surplus().toList()) {
            try (RawServer server =
                    new RawServer(
                            (socket, number, path) ->
                                    respond(
                                            socket,
                                            failureTo(path) + (number == 0 ? surplus : "")))) {
                PooledHttpClient client = new PooledHttpClient(loop, server.address());
                String first = call(client, "/first");
                String second = call(client, "/second", SHORT_TIMEOUT_MILLIS);
                if (!first.equals("failed") && !first.equals("404 /first")) {
                    wrong.add("first call " + first, surplus);
                }
                if (!second.equals("404 /second")) {
                    wrong.add("second call " + second, surplus);
                }
                client.close();
            }
        }
        wrong.assertNone();
    }

    /** The surplus arrives on the idle connection before the next call is sent. */
    @Test
    void bytesOnAnIdleConnectionReachNoLaterCall() throws Exception {
        Outcomes wrong = new Outcomes();
        for (String surplus : surplus().toList()) {
            CountDownLatch idle = new CountDownLatch(1);
            CompletableFuture<Boolean> closed = new CompletableFuture<>();
            try (RawServer server =
                    new RawServer(
                            (socket, number, path) -> {
                                respond(socket, failureTo(path));
                                if (number == 0) {
                                    idle.await();
                                    RawServer.write(socket, surplus);
                                    closed.complete(RawServer.isClosed(socket, CLOSE_MILLIS));
                                }
                                return true;
                            })) {
                PooledHttpClient client = new PooledHttpClient(loop, server.address());
                assertThat(call(client, "/first")).isEqualTo("404 /first");
                idle.countDown();
                if (!closed.get()) {
                    wrong.add("connection stays open", surplus);
                }
                String second = call(client, "/second", SHORT_TIMEOUT_MILLIS);
                if (!second.equals("404 /second")) {
                    wrong.add("second call " + second, surplus);
                }
                client.close();
            }
        }
        wrong.assertNone();
    }

    /**
     * An extra response, whole or cut off, precedes the response in one write. Which of both is the
     * call's own can't be known.
     */
    @Test
    void aResponseThatFollowsOtherBytesIsNotTakenForThem() throws Exception {
        Outcomes wrong = new Outcomes();
        for (String surplus : surplus().toList()) {
            try (RawServer server =
                    new RawServer(
                            (socket, number, path) ->
                                    respond(
                                            socket,
                                            (number == 1 ? surplus : "") + failureTo(path)))) {
                PooledHttpClient client = new PooledHttpClient(loop, server.address());
                assertThat(call(client, "/first")).isEqualTo("404 /first");
                String second = call(client, "/second", SHORT_TIMEOUT_MILLIS);
                String third = call(client, "/third", SHORT_TIMEOUT_MILLIS);
                if (!second.equals("failed") && !second.equals("404 /second")) {
                    wrong.add("second call " + second, surplus);
                }
                if (!third.equals("404 /third")) {
                    wrong.add("third call " + third, surplus);
                }
                client.close();
            }
        }
        wrong.assertNone();
    }

    private static boolean respond(Socket socket, String bytes) throws Exception {
        RawServer.write(socket, bytes);
        return true;
    }

    /** The wrong outcomes of calls, with the bytes that led to them. Not thread-safe. */
    private static final class Outcomes {
        private final Map<String, List<String>> bytesByOutcome = new TreeMap<>();

        void add(String outcome, String bytes) {
            String escaped = bytes.replace("\r", "\\r").replace("\n", "\\n");
            bytesByOutcome.computeIfAbsent(outcome, first -> new ArrayList<>()).add(escaped);
        }

        void assertNone() {
            List<String> counts =
                    bytesByOutcome.entrySet().stream()
                            .map(
                                    entry ->
                                            entry.getValue().size()
                                                    + (" times: " + entry.getKey())
                                                    + (", as after " + entry.getValue().get(0)))
                            .toList();
            assertThat(counts).isEmpty();
        }
    }

    /** Heads of which it is not certain where their response ends, or whose it is. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-TypeHTTP/1.1 404 Not Found\r\n"
                        + "Content-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nServer: aHTTP/1.1 404 Not Found\r\n"
                        + "Content-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OKHTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nok",
            })
    void aHeadThatIsAmbiguousFailsTheCall(String response) throws Exception {
        try (RawServer server =
                new RawServer(
                        (socket, number, path) ->
                                respond(socket, number == 0 ? response : failureTo(path)))) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            assertThat(call(client, "/first")).isEqualTo("failed");
            assertThat(call(client, "/second")).isEqualTo("404 /second");
        }
    }

    /**
     * Guards against an interim response that is taken for the response, which is the next one's.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
            })
    void anInterimResponseIsSkipped(String interim) throws Exception {
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> respond(socket, interim + failureTo(path)))) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            assertThat(call(client, "/first")).isEqualTo("404 /first");
            assertThat(call(client, "/second")).isEqualTo("404 /second");
        }
    }

    /** Guards against a truncated list that looks whole, since it has no length. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseWithoutALengthIsWholeOnlyAfterAnOrderlyClose(boolean reset) throws Exception {
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> {
                            RawServer.write(socket, EXTRA_WITHOUT_LENGTH);
                            socket.setSoLinger(reset, 0);
                            return false;
                        })) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            assertThat(call(client, "/first")).isEqualTo(reset ? "failed" : "200 extra");
        }
    }

    /** Guards against the same when the reset shows in a request that is still being written. */
    @Test
    void aResetWhileTheRequestIsWrittenIsNotTheEndOfTheResponse() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> {
                            RawServer.write(socket, EXTRA_WITHOUT_LENGTH);
                            read.await();
                            socket.setSoLinger(true, 0);
                            return false;
                        })) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            byte[] large = new byte[16 * 1_048_576];
            var response = client.call(HttpMethod.PUT, "/", Map.of(), large, TIMEOUT_MILLIS);
            TimeUnit.MILLISECONDS.sleep(SHORT_TIMEOUT_MILLIS);
            read.countDown();
            String outcome =
                    response.handle((whole, failure) -> failure == null ? "whole" : "failed")
                            .get(10, TimeUnit.SECONDS);
            assertThat(outcome).isEqualTo("failed");
        }
    }

    /** Heads and bodies that end with the connection, in order or with a reset. */
    static Stream<String> responsesWithAnEnd() {
        return Stream.of(EXTRA, EXTRA_CHUNKED, EXTRA_FAILURE);
    }

    @ParameterizedTest
    @MethodSource("responsesWithAnEnd")
    void aResponseThatIsCutOffFailsTheCall(String response) throws Exception {
        Outcomes wrong = new Outcomes();
        for (int cut = 0; cut < response.length(); cut++) {
            for (boolean reset : new boolean[] {false, true}) {
                String begun = response.substring(0, cut);
                try (RawServer server =
                        new RawServer(
                                (socket, number, path) -> {
                                    RawServer.write(socket, begun);
                                    socket.setSoLinger(reset, 0);
                                    return false;
                                })) {
                    PooledHttpClient client = new PooledHttpClient(loop, server.address());
                    String outcome = call(client, "/first");
                    if (!outcome.equals("failed")) {
                        wrong.add("call " + outcome, begun);
                    }
                }
            }
        }
        wrong.assertNone();
    }

    /** Guards against the response to a call that has timed out, which arrives in the next call. */
    @Test
    void aResponseAfterItsTimeoutReachesNoLaterCall() throws Exception {
        CountDownLatch sent = new CountDownLatch(2);
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> {
                            sent.countDown();
                            if (number == 0) {
                                sent.await();
                            }
                            return respond(socket, failureTo(path));
                        })) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            assertThat(call(client, "/first", SHORT_TIMEOUT_MILLIS)).isEqualTo("failed");
            assertThat(call(client, "/second")).isEqualTo("404 /second");
        }
    }

    /** Guards against closing every connection: each new one costs the server and the call. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionIsKeptAfterAWholeResponse(boolean chunked) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try (RawServer server =
                new RawServer(
                        (socket, number, path) -> {
                            sockets.add(socket);
                            return respond(socket, chunked ? EXTRA_CHUNKED : EXTRA);
                        })) {
            PooledHttpClient client = new PooledHttpClient(loop, server.address());
            for (int number = 0; number < 3; number++) {
                assertThat(call(client, "/call")).isEqualTo("200 extra");
            }
            assertThat(sockets.stream().distinct().toList()).hasSize(1);
            assertThat(sockets).hasSize(3);
        }
    }
}
