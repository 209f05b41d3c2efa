package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Random;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.daemon.settings.LimitField;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bad input of one caller that harms the others (rejected requests, broken streams):
 * a request that is too large, bytes that are not gRPC, or invalid fields.
 */
class CallerInputTest {
    @TempDir Path folder;
    private TestFleet fleet;
    private String key;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(1);
        key = fleet.setUp(1, 1);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private void assertOtherCallersAreServed() {
        var stream = fleet.router("vm-1", key).generate(TestFleet.prompt("other", 3));
        assertThat(TestFleet.receive(stream).last().hasFinished()).isTrue();
    }

    @Test
    void oversizedRequestIsRejectedAndOtherCallersAreServed() throws Exception {
        int oversizedBytes = (int) LimitField.MAXIMUM_REQUEST_BYTES.defaultValue() + 1;
        RunActionRequest request =
                fleet.refundRequest("vm-1", key, "large").toBuilder()
                        .setBody(ByteString.copyFrom(new byte[oversizedBytes]))
                        .build();
        StatusRuntimeException rejected =
                assertThrows(
                        StatusRuntimeException.class, () -> fleet.runAction("vm-1", key, request));
        assertThat(rejected.getStatus().getCode()).isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
        assertThat(fleet.runCount("large")).isEqualTo(0);
        assertOtherCallersAreServed();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 24, 20_000})
    void bytesThatAreNotGrpcCloseOnlyTheirConnection(int count) throws Exception {
        String address = fleet.daemons.get("vm-1").callerAddress();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        byte[] randomBytes = new byte[count];
        new Random(count).nextBytes(randomBytes);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            sendAndReadUntilClosed(socket, randomBytes);
        }
        assertOtherCallersAreServed();
    }

    private static void sendAndReadUntilClosed(Socket socket, byte[] randomBytes) {
        try {
            socket.getOutputStream().write(randomBytes);
            socket.shutdownOutput();
            while (socket.getInputStream().read() >= 0) {
                // HTTP/2 sends GOAWAY before it closes the connection.
                continue;
            }
        } catch (IOException reset) {
            // A reset closes the connection as well.
            return;
        }
    }

    @Test
    void requestWithInvalidFieldIsRejectedWithExpectationAndRemedy() {
        GenerateRequest valid = TestFleet.prompt("bad", 3);
        for (GenerateRequest invalid :
                new GenerateRequest[] {
                    valid.toBuilder().clearRequestId().build(),
                    valid.toBuilder().clearSegments().build(),
                    valid.toBuilder().setMaxTokens(-1).build(),
                    valid.toBuilder().setStartOffset(-1).build(),
                    valid.toBuilder().setStartOffset(4).build(),
                }) {
            var last = TestFleet.receive(fleet.router("vm-1", key).generate(invalid)).last();
            assertThat(last.getProblem().getCode()).isEqualTo("BAD_REQUEST");
            assertThat(last.getProblem().getMessage()).contains("expected");
            assertThat(last.getProblem().getRemedy()).isNotEmpty();
        }
        assertOtherCallersAreServed();
    }
}
