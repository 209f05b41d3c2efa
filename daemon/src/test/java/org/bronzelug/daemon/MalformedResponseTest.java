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
import org.bronzelug.daemon.platform.PlatformClient;
import org.bronzelug.daemon.platform.PlatformException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a daemon that takes a malformed response for the platform's or a runner's, with
 * another body than was sent.
 */
class MalformedResponseTest {
    private static final String BODY = "Content-Length: 1\r\n\r\n7";
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private static String write(String response) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> respond(server, response));
            return new PlatformClient("http://127.0.0.1:" + server.getLocalPort())
                    .put("key", 1, new byte[0])
                    .toString();
        }
    }

    private static void respond(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            while (!reader.readLine().isEmpty()) {
                continue;
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            // The daemon has closed the connection.
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n" + BODY,
                "HTTP/1.1 0200 OK\r\n" + BODY,
                "HTTP/1.1 600 OK\r\n" + BODY,
                OK + "Bad Name: x\r\n" + BODY,
                OK + "Name : x\r\n" + BODY,
                OK + " X: x\r\n" + BODY,
                OK + "X: x\r\n folded\r\n" + BODY,
                OK + "no colon\r\n" + BODY,
                OK + "Content Length: 1\r\n\r\n7",
                OK + "Transfer-Encoding: gzip\r\n\r\n7",
                OK + "Transfer-Encoding: xchunked\r\n" + BODY,
            })
    void aMalformedHeadFailsTheCall(String response) {
        assertThrows(PlatformException.class, () -> write(response));
    }

    @Test
    void aSoundHeadIsAccepted() throws Exception {
        assertThat(write(OK + "X: a b\r\nY:\r\n" + BODY)).contains("7");
    }
}
