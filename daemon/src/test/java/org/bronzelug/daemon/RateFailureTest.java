package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.core.limit.RateShares;
import org.bronzelug.daemon.configuration.Catalog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a team that gets its burst several times, because each VM counts only its own
 * requests: the team sends requests through every VM, or the VM that holds its rate dies and
 * another one takes ownership. A team's rate and burst hold across all VMs.
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
        // The rate is almost 0, so only the burst is admitted, however long the test takes.
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
        GenerateEvent lastEvent =
                TestFleet.receive(fleet.router(vm, key).generate(request(id))).last();
        return lastEvent.hasFinished() ? "served" : lastEvent.getProblem().getCode();
    }

    @Test
    void burstIsAdmittedOnceAcrossAllVms() throws Exception {
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 30; number++) {
                String vm = "vm-" + (1 + number % 3);
                String id = "r" + number;
                outcomes.add(CompletableFuture.supplyAsync(() -> outcome(vm, id), callers));
            }
        }
        List<String> results = outcomes.stream().map(CompletableFuture::join).toList();
        assertThat(results.stream().filter("served"::equals).count()).isEqualTo(BURST / 20);
        assertThat(results.stream().filter("EXCEEDS_BURST"::equals).count()).isEqualTo(0);
        assertThat(results.stream().filter("OVER_RATE"::equals).count()).isEqualTo(30 - BURST / 20);
    }

    /**
     * Guards against rejections during a platform outage: the holder of the team's rate must
     * continue to admit requests.
     */
    @Test
    void platformOutageRejectsNothingWithinTheRate() throws Exception {
        assertThat(outcome("vm-1", "before")).isEqualTo("served");
        fleet.platform.setFaults(true, 0, 0);
        Await.until(
                "vm-1 has detected the outage", () -> !fleet.daemons.get("vm-1").isPlatformUp());
        assertThat(outcome("vm-1", "during-1")).isEqualTo("served");
        assertThat(outcome("vm-2", "during-2")).isEqualTo("served");
        assertThat(outcome("vm-3", "during-3")).isEqualTo("served");
    }

    /**
     * Guards against a burst that is admitted twice: the holder dies and its token count is lost,
     * so the next holder must start without tokens.
     */
    @Test
    void newHolderAfterCrashDoesNotAdmitTheBurstAgain() throws Exception {
        for (int number = 0; number < 5; number++) {
            assertThat(outcome("vm-1", "first-" + number)).isEqualTo("served");
        }
        fleet.daemons.remove(holder()).kill();
        String survivor = fleet.daemons.keySet().iterator().next();
        assertThat(outcome(survivor, "after")).isEqualTo("OVER_RATE");
    }

    /**
     * Guards against a rejection as beyond the rate of a team that has sent nothing: the holder
     * dies, and the next holder starts without tokens.
     */
    @Test
    void newHolderAfterCrashRejectsNothingWithinTheRate() throws Exception {
        fleet.change(r -> r.setSetTeam(TestFleet.team("small", 200, BURST)));
        killHolder();
        String survivor = fleet.daemons.keySet().iterator().next();
        assertThat(outcome(survivor, "after")).isEqualTo("served");
    }

    /**
     * Guards against requests that wait for tokens without a bound: of a team that exceeds its rate
     * while its share moves, as many wait as its burst allows.
     */
    @Test
    void newHolderAfterCrashLetsWaitNoMoreThanTheBurst() throws Exception {
        int burst = 100;
        int requests = 15;
        fleet.change(r -> r.setSetTeam(TestFleet.team("small", 20, burst)));
        killHolder();
        String survivor = fleet.daemons.keySet().iterator().next();
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < requests; number++) {
                String id = "after-" + number;
                outcomes.add(CompletableFuture.supplyAsync(() -> outcome(survivor, id), callers));
            }
        }
        List<String> results = outcomes.stream().map(CompletableFuture::join).toList();
        assertThat(results.stream().filter("served"::equals).count()).isEqualTo(burst / 20);
        assertThat(results.stream().filter("OVER_RATE"::equals).count())
                .isEqualTo(requests - burst / 20);
    }

    /**
     * Guards against remaining tokens that are lost or counted twice when the holder stops
     * gracefully and transfers them to its successor.
     */
    @Test
    void gracefulStopTransfersExactlyTheRemainingTokens() throws Exception {
        for (int number = 0; number < 4; number++) {
            assertThat(outcome("vm-1", "first-" + number)).isEqualTo("served");
        }
        fleet.daemons.remove(holder()).stop();
        String survivor = fleet.daemons.keySet().iterator().next();
        int servedCount = 0;
        while (outcome(survivor, "rest-" + servedCount).equals("served")) {
            servedCount++;
        }
        assertThat(servedCount).isEqualTo(BURST / 20 - 4);
    }

    private Optional<Catalog.Claim> share() {
        int group = RateShares.groupOf("small");
        return fleet.daemons.values().iterator().next().view().catalog().share(group);
    }

    private String holder() {
        return share().orElseThrow().holder().vm();
    }

    private void killHolder() throws Exception {
        Await.until("the team's share has a holder", () -> share().isPresent());
        fleet.daemons.remove(holder()).kill();
    }
}
