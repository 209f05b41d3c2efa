package org.bronzelug.core.path;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The state of a VM's own path to one endpoint. */
class DirectPathTest {
    private static final long LOST = 100;

    private final DirectPath path = new DirectPath();

    @Test
    void onlyTheChangesOfTheStateAreReported() {
        assertThat(path.recordLost(true, LOST)).isTrue();
        assertThat(path.recordLost(true, LOST + 1)).isFalse();
        assertThat(path.recordConnected(LOST + 2)).isTrue();
        assertThat(path.recordConnected(LOST + 3)).isFalse();
        assertThat(path.isLost()).isFalse();
    }

    /**
     * Guards against moving a request off a connection that lives on while new ones are refused.
     */
    @ParameterizedTest
    @CsvSource({"true, 99, true", "true, 101, false", "false, 99, false"})
    void aConnectionIsSilentOnlyIfThePathWasLostToSilence(
            boolean noResponse, long lastReceivedNanos, boolean silent) {
        path.recordLost(noResponse, LOST);
        assertThat(path.isSilent(lastReceivedNanos)).isEqualTo(silent);
    }

    /**
     * Guards against sending a request on a kept connection that a network failure has silenced.
     */
    @ParameterizedTest
    @CsvSource({
        "before the loss, 99, -1, true",
        "received after it, 101, -1, false",
        "connected before it, 99, 98, true",
        "connected after it, 99, 101, false",
    })
    void aKeptConnectionIsDoubtfulAfterTheLossOfAnotherPath(
            String name, long lastReceivedNanos, long connectedNanos, boolean doubtful) {
        if (connectedNanos >= 0) {
            path.recordConnected(connectedNanos);
        }
        assertThat(path.isDoubtful(lastReceivedNanos, OptionalLong.of(LOST))).isEqualTo(doubtful);
        assertThat(path.isDoubtful(lastReceivedNanos, OptionalLong.empty())).isFalse();
    }
}
