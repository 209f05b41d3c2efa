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
 * A stream arrives whole and in order whatever becomes of its runner.
 *
 * <p>What the caller would see: an answer that ends in the middle, or says a word twice. The order:
 * the runner is cut, crashes or freezes at some chunk, and the stream goes on at another. Why: the
 * second runner must start exactly where the first was last heard.
 */
class StreamFailureTest {
    private static final int CHUNKS = 150;
    private static final List<Integer> ALL = IntStream.range(0, CHUNKS).boxed().toList();

    @TempDir Path folder;
    private TestFleet fleet;
    private String key;
    private String whole;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(1);
        key = fleet.setUp(2, 0);
        whole = TestFleet.receive(generate("reference", CHUNKS)).text();
        assertThat(whole).isNotEmpty();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private Iterator<GenerateEvent> generate(String id, int chunks) {
        return fleet.router("vm-1", key).generate(TestFleet.prompt(id, chunks));
    }

    private void assertWhole(TestFleet.Received received) {
        assertThat(received.offsets()).isEqualTo(ALL);
        assertThat(received.text()).isEqualTo(whole);
        assertThat(received.last().hasFinished()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 75, 149})
    void isWholeWhenItsRunnerIsCutAtAnyChunk(int offset) throws Exception {
        Iterator<GenerateEvent> events = generate("cut", CHUNKS);
        ModelRunnerStandin runner = preferredRunner();
        runner.cutAt(offset);
        assertWhole(TestFleet.receive(generate("cut-again", CHUNKS)));
        assertThat(TestFleet.receive(events).text()).isEqualTo(whole);
        assertThat(runner.log().toString()).contains("cut-again");
    }

    /** Each chunk of a short stream, one after another: the runner that has the prefix is cut. */
    @Test
    void isWholeWhenItsRunnerIsCutAtEachChunk() {
        int chunks = 16;
        String wholeShort = TestFleet.receive(generate("short", chunks)).text();
        int moved = 0;
        for (int offset = 0; offset < chunks; offset++) {
            ModelRunnerStandin first = fleet.models.get(offset % 2);
            first.cutAt(offset);
            for (int stream = 0; stream < 2; stream++) {
                TestFleet.Received received =
                        TestFleet.receive(generate("each-" + offset + "-" + stream, chunks));
                assertThat(received.offsets())
                        .isEqualTo(IntStream.range(0, chunks).boxed().toList());
                assertThat(received.text()).isEqualTo(wholeShort);
                moved += received.last().getFinished().getAttempts() > 1 ? 1 : 0;
            }
            first.cutAt(-1);
        }
        assertThat(moved).isGreaterThan(0);
    }

    /** The runner that got the reference stream: the prompt's next stream goes there as well. */
    private ModelRunnerStandin preferredRunner() {
        return fleet.models.stream()
                .filter(runner -> runner.log().toString().contains("reference"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void isWholeWhenItsRunnerCrashesAndComesBackEmpty() throws Exception {
        Iterator<GenerateEvent> events = generate("crash", CHUNKS);
        assertThat(events.next().getChunk().getOffset()).isEqualTo(0);
        preferredRunner().crash();
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL.subList(1, CHUNKS));
        assertThat(whole).endsWith(rest.text());
        assertThat(rest.last().getFinished().getAttempts()).isAtLeast(2);
    }

    @Test
    void isWholeWhenItsRunnerFreezesAndWakesLater() throws Exception {
        Iterator<GenerateEvent> events = generate("freeze", CHUNKS);
        events.next();
        preferredRunner().freeze(2_500);
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL.subList(1, CHUNKS));
        assertThat(rest.last().getFinished().getAttempts()).isAtLeast(2);
    }

    @Test
    void isWholeWhenThePartnerTakesAllEndpointsButOne() throws Exception {
        Iterator<GenerateEvent> events = generate("partner", CHUNKS);
        events.next();
        ModelRunnerStandin gone = preferredRunner();
        String name = "model-" + (fleet.models.indexOf(gone) + 1);
        assertThat(fleet.leave(name).getInForce()).isTrue();
        gone.stop();
        TestFleet.Received rest = TestFleet.receive(events);
        assertThat(rest.offsets()).isEqualTo(ALL.subList(1, CHUNKS));
        assertWhole(TestFleet.receive(generate("after", CHUNKS)));
    }

    @Test
    void goesOnAtTheChunkThatTheCallerNames() throws Exception {
        GenerateRequest resumed =
                TestFleet.prompt("resumed", CHUNKS).toBuilder()
                        .setStartOffset(5)
                        .setTextSoFar("whatever came before")
                        .build();
        TestFleet.Received rest = TestFleet.receive(fleet.router("vm-1", key).generate(resumed));
        assertThat(rest.offsets()).isEqualTo(ALL.subList(5, CHUNKS));
        assertThat(whole).endsWith(rest.text());
    }

    /** All runners are gone: the caller is told at its deadline, with when to come back. */
    @Test
    void isRefusedAtItsDeadlineWhereNoRunnerIsLeft() throws Exception {
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
