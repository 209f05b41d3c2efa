package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.runner.CompletionListener;
import org.bronzelug.daemon.runner.CompletionRequest;
import org.bronzelug.daemon.runner.Endpoint;
import org.bronzelug.daemon.runner.EndpointReport;
import org.bronzelug.daemon.runner.RunnerClient;
import org.bronzelug.daemon.settings.LimitField;
import org.bronzelug.daemon.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a daemon that keeps all that a runner or the platform sends without end, until the
 * process has no memory left.
 */
class EndlessResponseTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final long FLOOD_BYTES = 512L * 1_048_576;
    private static final int BLOCK_BYTES = 16_384;

    private final AtomicLong sentBytes = new AtomicLong();
    private ServerSocket server;

    /** A call to the runner or platform that responds without end. */
    private enum Call {
        ACTION {
            @Override
            void make(String url) throws Exception {
                runners()
                        .runAction(
                                endpoint(url),
                                "method",
                                Optional.empty(),
                                new byte[0],
                                TIMEOUT_MILLIS);
            }
        },
        COMPLETION {
            @Override
            void make(String url) throws Exception {
                CompletionRequest request =
                        new CompletionRequest("id", "", "salt", List.of(), 1, 0, "", 0);
                runners().complete(endpoint(url), request, new Ignored());
            }
        },
        STATE {
            @Override
            void make(String url) throws Exception {
                runners().state(endpoint(url));
            }
        },
        LIST {
            @Override
            void make(String url) throws Exception {
                new PlatformClient(url).list();
            }
        },
        OBJECT {
            @Override
            void make(String url) throws Exception {
                new PlatformClient(url).get("key");
            }
        },
        WRITE {
            @Override
            void make(String url) throws Exception {
                new PlatformClient(url).put("key", 1, new byte[0]);
            }
        };

        abstract void make(String url) throws Exception;

        private static Endpoint endpoint(String url) {
            return new Endpoint("runner", "pool", url);
        }

        private static RunnerClient runners() {
            return new RunnerClient(
                    new Settings(
                            "vm",
                            "zone",
                            new Settings.Listen("", "", ""),
                            new Settings.Advertise(Optional.empty(), Optional.empty()),
                            "",
                            List.of(),
                            "",
                            "",
                            new Settings.Limits(
                                    LimitField.FRESHNESS_MILLIS.defaultValue(),
                                    50,
                                    LimitField.REQUEST_DEADLINE_MILLIS.defaultValue(),
                                    700,
                                    LimitField.DRAIN_MILLIS.defaultValue(),
                                    100,
                                    (int) LimitField.STREAMS_PER_RUNNER.defaultValue(),
                                    (int) LimitField.WAITING_REQUESTS.defaultValue(),
                                    (int) LimitField.MAXIMUM_REQUEST_BYTES.defaultValue(),
                                    (int) LimitField.MAXIMUM_PEER_FRAME_BYTES.defaultValue())));
        }
    }

    /** Wants all chunks. */
    private static final class Ignored implements CompletionListener {
        @Override
        public boolean onChunk(int offset, String text) {
            return true;
        }

        @Override
        public void onEnd(int cachedTokens, EndpointReport report) {}
    }

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::flood);
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    private void flood() {
        try (Socket socket = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            while (!reader.readLine().isEmpty()) {
                continue;
            }
            String head = "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n{\"models\":\"";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] block = "7".repeat(BLOCK_BYTES).getBytes(StandardCharsets.US_ASCII);
            while (sentBytes.get() < FLOOD_BYTES) {
                socket.getOutputStream().write(block);
                sentBytes.addAndGet(block.length);
            }
        } catch (IOException closed) {
            // The daemon has closed the connection.
        }
    }

    @ParameterizedTest
    @EnumSource
    void aFloodEndsTheCall(Call call) {
        String url = "http://127.0.0.1:" + server.getLocalPort();
        Exception failed = assertThrows(Exception.class, () -> call.make(url));
        String causes = failed + " " + failed.getCause();
        assertThat(causes).contains("larger than");
        assertThat(sentBytes.get()).isLessThan(FLOOD_BYTES);
    }
}
