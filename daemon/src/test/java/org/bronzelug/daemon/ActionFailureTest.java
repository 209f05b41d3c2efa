package org.bronzelug.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bronzelug.api.Execution;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a non-idempotent action that runs twice (a voucher is refunded twice), or that is
 * reported as not run although it ran. This happens when the response is lost or the VM stops, the
 * caller retries through another VM, and that VM does not know of the first run. The endpoint's own
 * log shows how often an action ran.
 */
class ActionFailureTest {
    private static final int HOUR_MILLIS = 3_600_000;

    @TempDir Path folder;
    private TestFleet fleet;
    private String key;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(folder).startDaemons(3);
        key = fleet.setUp(0, 2);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private List<RunActionAnswer> runThroughEveryVm(RunActionRequest request) {
        List<RunActionAnswer> responses = new ArrayList<>();
        fleet.daemons.keySet().forEach(vm -> responses.add(fleet.runAction(vm, key, request)));
        return responses;
    }

    @Test
    void concurrentRequestsThroughEveryVmRunTheActionOnce() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "once");
        fleet.applications.forEach(runner -> runner.setFaults(0, 0, 100));
        List<CompletableFuture<RunActionAnswer>> responses = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 12; number++) {
                String vm = "vm-" + (1 + number % 3);
                responses.add(
                        CompletableFuture.supplyAsync(
                                () -> fleet.runAction(vm, key, request), callers));
            }
        }
        for (CompletableFuture<RunActionAnswer> response : responses) {
            assertThat(response.get().getExecution()).isEqualTo(Execution.RAN);
            assertThat(response.get().getBody()).isEqualTo(responses.get(0).get().getBody());
        }
        assertThat(fleet.runCount("once")).isEqualTo(1);
    }

    @Test
    void actionWithLostResponseStaysInDoubtAndIsNotRunAgain() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "lost");
        fleet.applications.forEach(runner -> runner.setFaults(1, 0, 0));
        assertThat(fleet.runAction("vm-2", key, request).getExecution())
                .isEqualTo(Execution.IN_DOUBT);
        for (RunActionAnswer response : runThroughEveryVm(request)) {
            assertThat(response.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        assertThat(fleet.runCount("lost")).isEqualTo(1);
        assertThat(fleet.metrics("vm-1")).contains("actions_in_doubt." + TestFleet.TEAM);
    }

    @Test
    void actionRejectedByEveryEndpointIsNotRunAndALaterRequestRunsIt() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "refused");
        fleet.applications.forEach(runner -> runner.setFaults(0, 1, 0));
        RunActionAnswer rejected = fleet.runAction("vm-1", key, request);
        assertThat(rejected.getExecution()).isEqualTo(Execution.NOT_RUN);
        assertThat(fleet.runCount("refused")).isEqualTo(0);
        assertThat(fleet.runAction("vm-3", key, request).getExecution()).isEqualTo(Execution.RAN);
        assertThat(fleet.runCount("refused")).isEqualTo(1);
    }

    @Test
    void actionWhoseOwnerDiedStaysInDoubtAndIsNotRunAgain() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "died");
        assertThat(fleet.runAction("vm-2", key, request).getExecution()).isEqualTo(Execution.RAN);
        fleet.daemons.remove("vm-1").kill();
        for (RunActionAnswer response : runThroughEveryVm(request)) {
            assertThat(response.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        // The VM's next incarnation does not know the id, and must not run the action either.
        fleet.startDaemon("vm-1");
        Await.until("vm-1 serves", () -> fleet.daemons.get("vm-1").isServing());
        for (RunActionAnswer response : runThroughEveryVm(request)) {
            assertThat(response.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        assertThat(fleet.runCount("died")).isEqualTo(1);
    }

    /**
     * Guards against a caller that waits for its whole deadline: the action's owner is frozen or
     * behind a network that drops all packets, so no connection breaks, and only a closed
     * connection or the deadline would end the forwarded call.
     */
    @Test
    void actionWhoseOwnerIsSilentIsReportedInDoubtAtOnce() throws Exception {
        RunActionRequest request =
                fleet.refundRequest("vm-1", key, "silent").toBuilder()
                        .setDeadlineMs(HOUR_MILLIS)
                        .build();
        assertThat(fleet.runAction("vm-2", key, request).getExecution()).isEqualTo(Execution.RAN);
        fleet.peerLinks.get("vm-1").silence();
        CompletableFuture<RunActionAnswer> response =
                CompletableFuture.supplyAsync(() -> fleet.runAction("vm-2", key, request));
        Await.until("the caller has its response", response::isDone);
        assertThat(response.get().getExecution()).isEqualTo(Execution.IN_DOUBT);
        assertThat(response.get().getProblem().getRetryAfterMs()).isGreaterThan(0);
        fleet.peerLinks.get("vm-1").heal();
        Await.until(
                "the owner is reachable again",
                () -> fleet.runAction("vm-2", key, request).getExecution() == Execution.RAN);
        assertThat(fleet.runCount("silent")).isEqualTo(1);
    }

    @Test
    void successorAnswersForVmThatStoppedGracefully() throws Exception {
        RunActionRequest ran = fleet.refundRequest("vm-1", key, "ran");
        RunActionRequest notStarted = fleet.refundRequest("vm-1", key, "unbegun");
        RunActionAnswer firstResponse = fleet.runAction("vm-1", key, ran);
        fleet.daemons.remove("vm-1").stop();
        Await.until(
                "all VMs know the successor",
                () ->
                        runThroughEveryVm(ran).stream()
                                .allMatch(response -> response.getExecution() == Execution.RAN));
        assertThat(fleet.runAction("vm-2", key, ran).getBody()).isEqualTo(firstResponse.getBody());
        for (RunActionAnswer response : runThroughEveryVm(notStarted)) {
            assertThat(response.getExecution()).isEqualTo(Execution.RAN);
        }
        assertThat(fleet.runCount("ran")).isEqualTo(1);
        assertThat(fleet.runCount("unbegun")).isEqualTo(1);
    }

    @Test
    void sameIdWithAnotherBodyOrTeamIsRejected() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "bound");
        fleet.runAction("vm-1", key, request);
        RunActionRequest otherBody =
                request.toBuilder().setBody(ByteString.copyFromUtf8("voucher 18")).build();
        assertThat(fleet.runAction("vm-2", key, otherBody).getProblem().getCode())
                .isEqualTo("ACTION_MISMATCH");
        fleet.change(r -> r.setSetTeam(TestFleet.team("other", 10, 10)));
        String otherKey = fleet.issueKey("other", "first");
        RunActionAnswer response = fleet.runAction("vm-1", otherKey, request);
        assertThat(response.getProblem().getCode()).isEqualTo("ACTION_MISMATCH");
        assertThat(response.getBody().isEmpty()).isTrue();
        assertThat(fleet.runCount("bound")).isEqualTo(1);
    }

    @Test
    void actionRunsDuringPlatformOutage() throws Exception {
        RunActionRequest request = fleet.refundRequest("vm-1", key, "outage");
        fleet.platform.setFaults(true, 0, 0);
        assertThat(fleet.runAction("vm-3", key, request).getExecution()).isEqualTo(Execution.RAN);
        assertThat(fleet.runAction("vm-2", key, request).getRepeated()).isTrue();
        assertThat(fleet.runCount("outage")).isEqualTo(1);
    }
}
