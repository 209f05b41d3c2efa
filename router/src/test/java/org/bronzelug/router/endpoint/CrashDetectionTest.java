package org.bronzelug.router.endpoint;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against taking lost connections or lost paths for the crash of an endpoint. */
class CrashDetectionTest {
    private static final long MILLI = 1_000_000L;

    private final List<OptionalLong> crashes = new ArrayList<>();
    private int verifications;
    private final CrashDetection detection = new CrashDetection(() -> verifications++);

    CrashDetectionTest() {
        detection.setListener(crashes::add);
    }

    @Test
    void aRefusalAfterALossIsACrashAtTheTimeOfTheLoss() {
        detection.recordLost(100 * MILLI);
        detection.recordLost(101 * MILLI);
        assertThat(verifications).isEqualTo(1);
        detection.recordConnectFailed(new ConnectException("Connection refused"));
        detection.recordConnectFailed(new ConnectException("Connection refused"));
        assertThat(crashes).containsExactly(OptionalLong.of(100 * MILLI));
    }

    /** The VM had no request there when the endpoint crashed. */
    @Test
    void aRefusalWithoutALossIsACrashAtAnUnknownTime() {
        detection.recordConnectFailed(new ConnectException("Connection refused"));
        assertThat(crashes).containsExactly(OptionalLong.empty());
    }

    static Stream<Exception> otherFailures() {
        return Stream.of(
                new ConnectTimeoutException("connection timed out"),
                new ConnectException("Connection timed out"),
                new NoRouteToHostException("No route to host"));
    }

    @ParameterizedTest
    @MethodSource("otherFailures")
    void aConnectThatFailsOtherwiseIsNoCrash(Exception failure) {
        detection.recordLost(100 * MILLI);
        detection.recordConnectFailed(failure);
        assertThat(crashes).isEmpty();
    }

    @Test
    void anEndpointThatAcceptsConnectionsHasNotCrashed() {
        detection.recordLost(100 * MILLI);
        detection.recordConnected();
        assertThat(crashes).isEmpty();
        detection.recordLost(500 * MILLI);
        detection.recordConnectFailed(new ConnectException("Connection refused"));
        assertThat(crashes).containsExactly(OptionalLong.of(500 * MILLI));
    }

    /** A process that is started again at once accepts connections as the crashed one did. */
    @Test
    void anotherStartSoonAfterALossIsACrash() {
        detection.recordLost(100 * MILLI);
        detection.recordConnected();
        detection.recordReplaced(1_100 * MILLI);
        assertThat(crashes).containsExactly(OptionalLong.of(100 * MILLI));
    }

    @Test
    void anotherStartLongAfterALossIsNoCrash() {
        detection.recordLost(100 * MILLI);
        detection.recordConnected();
        detection.recordReplaced(6_000 * MILLI);
        assertThat(crashes).isEmpty();
    }

    /** An endpoint that breaks off many responses must not get a connection for each. */
    @Test
    void connectionsToSeeWhetherTheEndpointLivesAreLimited() {
        for (int millis = 0; millis < 1_000; millis += 10) {
            detection.recordLost(millis * MILLI);
            detection.recordConnected();
        }
        assertThat(verifications).isEqualTo(5);
    }
}
