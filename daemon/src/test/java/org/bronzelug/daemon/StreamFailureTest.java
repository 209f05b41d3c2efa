package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.stream.IntStream;
import org.bronzelug.api.Execution;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.standin.ModelRunnerStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a stream that ends early or repeats text. This happens when its runner is cut,
 * crashes or freezes at some chunk, and the runner that continues the stream does not start exactly
 * after the last chunk received from the first one.
 */
class StreamFailureTest {
    private static final int CHUNKS = 150;
    private static final List<Integer> ALL_OFFSETS = IntStream.range(0, CHUNKS).boxed().toList();

    @TempDir Path folder;
    private TestFleet fleet;
    private String key;
    private String completeText;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(1);
        key = fleet.setUp(2, 0);
        completeText = TestFleet.receive(generate("reference", CHUNKS)).text();
        assertThat(completeText).isNotEmpty();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private Iterator<GenerateEvent> generate(String id, int chunks) {
        return fleet.router("vm-1", key).generate(TestFleet.prompt(id, chunks));
    }

    private void assertComplete(TestFleet.Received received) {
        assertThat(received.offsets()).isEqualTo(ALL_OFFSETS);
        assertThat(received.text()).isEqualTo(completeText);
        assertThat(received.last().hasFinished()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 75, 149})
    void streamIsCompleteWhenItsRunnerIsCutAtAChunk(int offset) throws Exception {
        Iterator<GenerateEvent> events = generate("cut", CHUNKS);
        ModelRunnerStandin runner = preferredRunner();
        runner.cutAt(offset);
        assertComplete(TestFleet.receive(generate("cut-again", CHUNKS)));
        assertThat(TestFleet.receive(events).text()).isEqualTo(completeText);
        assertThat(runner.log().toString()).contains("cut-again");
    }

    /** Cuts one of the two runners at each chunk of a short stream, one chunk after another. */
    @Test
    void streamIsCompleteForEachChunkAtWhichARunnerIsCut() {
        int chunks = 16;
        String completeShortText = TestFleet.receive(generate("short", chunks)).text();
        int movedStreams = 0;
        for (int offset = 0; offset < chunks; offset++) {
            ModelRunnerStandin cutRunner = fleet.models.get(offset % 2);
            cutRunner.cutAt(offset);
            for (int stream = 0; stream < 2; stream++) {
                TestFleet.Received received =
                        TestFleet.receive(generate("each-" + offset + "-" + stream, chunks));
                assertThat(received.offsets())
                        .isEqualTo(IntStream.range(0, chunks).boxed().toList());
                assertThat(received.text()).isEqualTo(completeShortText);
                movedStreams += received.last().getFinished().getAttempts() > 1 ? 1 : 0;
            }
            cutRunner.cutAt(-1);
        }
        assertThat(movedStreams).isGreaterThan(0);
    }

    /**
     * Returns the runner of the reference stream, which also gets the next stream of the prompt.
     */
    private ModelRunnerStandin preferredRunner() {
        return fleet.models.stream()
                .filter(runner -> runner.log().toString().contains("reference"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void streamIsCompleteWhenItsRunnerCrashesAndRestartsEmpty() throws Exception {
        Iterator<GenerateEvent> events = generate("crash", CHUNKS);
        assertThat(events.next().getChunk().getOffset()).isEqualTo(0);
        preferredRunner().crash();
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL_OFFSETS.subList(1, CHUNKS));
        assertThat(completeText).endsWith(rest.text());
        assertThat(rest.last().getFinished().getAttempts()).isAtLeast(2);
    }

    @Test
    void streamIsCompleteWhenItsRunnerFreezesAndResumesLater() throws Exception {
        Iterator<GenerateEvent> events = generate("freeze", CHUNKS);
        events.next();
        preferredRunner().freeze(2_500);
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL_OFFSETS.subList(1, CHUNKS));
        assertThat(rest.last().getFinished().getAttempts()).isAtLeast(2);
    }

    @Test
    void streamIsCompleteWhenItsRunnerLeavesAndOneRunnerIsLeft() throws Exception {
        Iterator<GenerateEvent> events = generate("partner", CHUNKS);
        events.next();
        ModelRunnerStandin leavingRunner = preferredRunner();
        String name = "model-" + (fleet.models.indexOf(leavingRunner) + 1);
        assertThat(fleet.leaveEndpoint(name).getInForce()).isTrue();
        leavingRunner.stop();
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL_OFFSETS.subList(1, CHUNKS));
        assertComplete(TestFleet.receive(generate("after", CHUNKS)));
    }

    @Test
    void streamStartsAtTheRequestedOffset() throws Exception {
        GenerateRequest resumed =
                TestFleet.prompt("resumed", CHUNKS).toBuilder()
                        .setStartOffset(5)
                        .setTextSoFar("whatever came before")
                        .build();
        TestFleet.Received rest = TestFleet.receive(fleet.router("vm-1", key).generate(resumed));
        assertThat(rest.offsets()).isEqualTo(ALL_OFFSETS.subList(5, CHUNKS));
        assertThat(completeText).endsWith(rest.text());
    }

    /**
     * Guards against a request that waits without end: no runner is left, so the request must be
     * rejected at its deadline, with a time for the retry.
     */
    @Test
    void requestIsRejectedAtItsDeadlineWhenNoRunnerIsLeft() throws Exception {
        fleet.models.forEach(ModelRunnerStandin::stop);
        fleet.awaitEndpoints(0);
        GenerateRequest request =
                TestFleet.prompt("none", CHUNKS).toBuilder().setDeadlineMs(300).build();
        TestFleet.Received received =
                TestFleet.receive(fleet.router("vm-1", key).generate(request));
        assertThat(received.last().getProblem().getCode()).isEqualTo("DEADLINE");
        assertThat(received.last().getProblem().getExecution()).isEqualTo(Execution.NOT_RUN);
        assertThat(received.last().getProblem().getRetryAfterMs()).isGreaterThan(0L);
    }
}
