package org.bronzelug.router.stream;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against forgetting a software version while streams that it began may be resumed. */
class StreamWindowTest {
    private final StreamWindow window = new StreamWindow(2, 0);

    @Test
    void aShorterWindowHoldsOnceTheLongerStreamsHaveEnded() {
        window.require(20, 0);
        window.require(5, 10);
        assertThat(window.nanos()).isEqualTo(20);
        window.require(5, 20);
        assertThat(window.nanos()).isEqualTo(20);
        window.require(5, 21);
        assertThat(window.nanos()).isEqualTo(5);
    }

    @Test
    void eachFormerWindowHoldsForItsOwnTime() {
        window.require(20, 0);
        window.require(10, 18);
        window.require(1, 19);
        window.require(1, 21);
        assertThat(window.nanos()).isEqualTo(10);
        window.require(1, 29);
        assertThat(window.nanos()).isEqualTo(1);
    }

    @Test
    void aLongerWindowHoldsAtOnce() {
        window.require(5, 0);
        window.require(20, 1);
        assertThat(window.nanos()).isEqualTo(20);
    }

    @Test
    void aWindowThatAnotherVmRequiredHoldsForItsTime() {
        window.requireOnce(20, 0);
        window.require(5, 20);
        assertThat(window.nanos()).isEqualTo(20);
        window.require(5, 21);
        assertThat(window.nanos()).isEqualTo(5);
    }
}
