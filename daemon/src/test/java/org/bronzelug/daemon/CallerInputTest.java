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
 * A caller's bad input harms that caller only.
 *
 * <p>What the others would see: refusals, or broken streams. The order: one caller sends what is
 * too large, no gRPC at all, or fields that make no sense; the others go on.
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

    private void assertOthersAreServed() {
        var stream = fleet.router("vm-1", key).generate(TestFleet.prompt("other", 3));
        assertThat(TestFleet.receive(stream).last().hasFinished()).isTrue();
    }

    @Test
    void anOversizedCallIsRefusedAlone() throws Exception {
        int tooLarge = (int) LimitField.MAXIMUM_REQUEST_BYTES.usual() + 1;
        RunActionRequest request =
                fleet.refund("vm-1", key, "large").toBuilder()
                        .setBody(ByteString.copyFrom(new byte[tooLarge]))
                        .build();
        StatusRuntimeException refused =
                assertThrows(StatusRuntimeException.class, () -> fleet.act("vm-1", key, request));
        assertThat(refused.getStatus().getCode()).isEqualTo(Status.Code.RESOURCE_EXHAUSTED);
        assertThat(fleet.runsOf("large")).isEqualTo(0);
        assertOthersAreServed();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 24, 20_000})
    void bytesThatAreNoGrpcCloseTheirConnectionAlone(int count) throws Exception {
        String address = fleet.daemons.get("vm-1").callerAddress();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        byte[] garbage = new byte[count];
        new Random(count).nextBytes(garbage);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            sendAndReadToTheEnd(socket, garbage);
        }
        assertOthersAreServed();
    }

    private static void sendAndReadToTheEnd(Socket socket, byte[] garbage) {
        try {
            socket.getOutputStream().write(garbage);
            socket.shutdownOutput();
            while (socket.getInputStream().read() >= 0) {
                // HTTP/2 says goodbye before it closes.
                continue;
            }
        } catch (IOException reset) {
            // A reset ends the connection as well.
            return;
        }
    }

    @Test
    void fieldsThatMakeNoSenseAreNamed() {
        GenerateRequest sound = TestFleet.prompt("bad", 3);
        for (GenerateRequest bad :
                new GenerateRequest[] {
                    sound.toBuilder().clearRequestId().build(),
                    sound.toBuilder().clearSegments().build(),
                    sound.toBuilder().setMaxTokens(-1).build(),
                    sound.toBuilder().setStartOffset(-1).build(),
                    sound.toBuilder().setStartOffset(4).build(),
                }) {
            var last = TestFleet.receive(fleet.router("vm-1", key).generate(bad)).last();
            assertThat(last.getProblem().getCode()).isEqualTo("BAD_REQUEST");
            assertThat(last.getProblem().getMessage()).contains("expected");
            assertThat(last.getProblem().getRemedy()).isNotEmpty();
        }
        assertOthersAreServed();
    }
}
