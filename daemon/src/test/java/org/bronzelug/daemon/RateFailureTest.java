package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.core.limit.RateShares;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A team's rate and burst hold over all VMs together.
 *
 * <p>What the other teams would see: a team that asks through every VM, or whose rate moves from a
 * dead VM to another, gets its burst several times. Why: each VM counts for itself.
 */
class RateFailureTest {
    private static final int PROMPT_TOKENS = 10;
    private static final int BURST = 200;

    @TempDir Path folder;
    private TestFleet fleet;
    private String key;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(3);
        fleet.setUp(1, 0);
        // Next to no rate: what is admitted is the burst, whatever the time it takes.
        fleet.change(r -> r.setSetTeam(TestFleet.team("small", 0.0001, BURST)));
        key = fleet.issueKey("small", "first");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private static GenerateRequest request(String id) {
        return GenerateRequest.newBuilder()
                .setRequestId(id)
                .setModel(TestFleet.MODEL)
                .addSegments("x".repeat(PROMPT_TOKENS * 4))
                .setMaxTokens(10)
                .setDeadlineMs(10_000)
                .build();
    }

    private String outcome(String vm, String id) {
        GenerateEvent last = TestFleet.receive(fleet.router(vm, key).generate(request(id))).last();
        return last.hasFinished() ? "served" : last.getProblem().getCode();
    }

    @Test
    void theBurstIsAdmittedOnceThroughAllVmsTogether() throws Exception {
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 30; number++) {
                String vm = "vm-" + (1 + number % 3);
                String id = "r" + number;
                outcomes.add(CompletableFuture.supplyAsync(() -> outcome(vm, id), callers));
            }
        }
        List<String> ended = outcomes.stream().map(CompletableFuture::join).toList();
        assertThat(ended.stream().filter("served"::equals).count()).isEqualTo(BURST / 20);
        assertThat(ended.stream().filter("EXCEEDS_BURST"::equals).count()).isEqualTo(0);
        assertThat(ended.stream().filter("OVER_RATE"::equals).count()).isEqualTo(30 - BURST / 20);
    }

    /** A platform outage alone refuses nobody: the holder goes on. */
    @Test
    void anOutageRefusesNothingWithinTheRate() throws Exception {
        assertThat(outcome("vm-1", "before")).isEqualTo("served");
        fleet.platform.setFaults(true, 0, 0);
        Await.until("the outage is noticed", () -> !fleet.daemons.get("vm-1").isPlatformUp());
        assertThat(outcome("vm-1", "during-1")).isEqualTo("served");
        assertThat(outcome("vm-2", "during-2")).isEqualTo("served");
        assertThat(outcome("vm-3", "during-3")).isEqualTo("served");
    }

    /** The holder dies with its tokens: the next one starts empty, so nothing comes twice. */
    @Test
    void aTakeOverNeverAdmitsTheBurstAgain() throws Exception {
        for (int number = 0; number < 5; number++) {
            assertThat(outcome("vm-1", "first-" + number)).isEqualTo("served");
        }
        fleet.daemons.remove(holder()).kill();
        String survivor = fleet.daemons.keySet().iterator().next();
        assertThat(outcome(survivor, "after")).isEqualTo("OVER_RATE");
    }

    /** A graceful stop hands the tokens over: what is left is neither lost nor doubled. */
    @Test
    void aGracefulStopKeepsExactlyTheTokensLeft() throws Exception {
        for (int number = 0; number < 4; number++) {
            assertThat(outcome("vm-1", "first-" + number)).isEqualTo("served");
        }
        fleet.daemons.remove(holder()).stop();
        String survivor = fleet.daemons.keySet().iterator().next();
        int served = 0;
        while (outcome(survivor, "rest-" + served).equals("served")) {
            served++;
        }
        assertThat(served).isEqualTo(BURST / 20 - 4);
    }

    private String holder() {
        int group = RateShares.groupOf("small");
        return fleet.daemons
                .values()
                .iterator()
                .next()
                .view()
                .catalog()
                .share(group)
                .orElseThrow()
                .holder()
                .vm();
    }
}
