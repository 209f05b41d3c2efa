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
 * A non-idempotent call runs at most once, and "not run" is true: checked against the endpoint's
 * own log.
 *
 * <p>What the caller would see: a voucher refunded twice. The order: the call runs, its answer is
 * lost or its VM goes away, and the caller asks again through every VM. Why: a second VM that knows
 * nothing of the first run would run it again.
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

    private List<RunActionAnswer> throughEveryVm(RunActionRequest request) {
        List<RunActionAnswer> answers = new ArrayList<>();
        fleet.daemons.keySet().forEach(vm -> answers.add(fleet.act(vm, key, request)));
        return answers;
    }

    @Test
    void runsOnceThroughEveryVmAtOnce() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "once");
        fleet.applications.forEach(runner -> runner.setFaults(0, 0, 100));
        List<CompletableFuture<RunActionAnswer>> answers = new ArrayList<>();
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number = 0; number < 12; number++) {
                String vm = "vm-" + (1 + number % 3);
                answers.add(
                        CompletableFuture.supplyAsync(() -> fleet.act(vm, key, request), callers));
            }
        }
        for (CompletableFuture<RunActionAnswer> answer : answers) {
            assertThat(answer.get().getExecution()).isEqualTo(Execution.RAN);
            assertThat(answer.get().getBody()).isEqualTo(answers.get(0).get().getBody());
        }
        assertThat(fleet.runsOf("once")).isEqualTo(1);
    }

    @Test
    void aLostAnswerLeavesItInDoubtAndItIsNotRepeated() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "lost");
        fleet.applications.forEach(runner -> runner.setFaults(1, 0, 0));
        assertThat(fleet.act("vm-2", key, request).getExecution()).isEqualTo(Execution.IN_DOUBT);
        for (RunActionAnswer answer : throughEveryVm(request)) {
            assertThat(answer.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        assertThat(fleet.runsOf("lost")).isEqualTo(1);
        assertThat(fleet.metrics("vm-1")).contains("actions_in_doubt." + TestFleet.TEAM);
    }

    @Test
    void aDefiniteRefusalIsNotRunAndTheNextEndpointRunsIt() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "refused");
        fleet.applications.forEach(runner -> runner.setFaults(0, 1, 0));
        RunActionAnswer refused = fleet.act("vm-1", key, request);
        assertThat(refused.getExecution()).isEqualTo(Execution.NOT_RUN);
        assertThat(fleet.runsOf("refused")).isEqualTo(0);
        assertThat(fleet.act("vm-3", key, request).getExecution()).isEqualTo(Execution.RAN);
        assertThat(fleet.runsOf("refused")).isEqualTo(1);
    }

    @Test
    void aHomeThatDiedLeavesItInDoubtNeverRunAgain() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "died");
        assertThat(fleet.act("vm-2", key, request).getExecution()).isEqualTo(Execution.RAN);
        fleet.daemons.remove("vm-1").kill();
        for (RunActionAnswer answer : throughEveryVm(request)) {
            assertThat(answer.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        // The same VM's next incarnation does not know the id, and must not run it either.
        fleet.startDaemon("vm-1");
        Await.until("vm-1 serves", () -> fleet.daemons.get("vm-1").isServing());
        for (RunActionAnswer answer : throughEveryVm(request)) {
            assertThat(answer.getExecution()).isEqualTo(Execution.IN_DOUBT);
        }
        assertThat(fleet.runsOf("died")).isEqualTo(1);
    }

    /**
     * The caller would wait for its whole deadline. The order: the home falls silent (frozen, or
     * behind a network that drops everything), no connection breaks, and a call is forwarded to it.
     * Why: only the end of a connection or of the time ended a forwarded call.
     */
    @Test
    void aHomeThatFallsSilentIsAnsweredForAtOnce() throws Exception {
        RunActionRequest request =
                fleet.refund("vm-1", key, "silent").toBuilder().setDeadlineMs(HOUR_MILLIS).build();
        assertThat(fleet.act("vm-2", key, request).getExecution()).isEqualTo(Execution.RAN);
        fleet.peerLinks.get("vm-1").silence();
        CompletableFuture<RunActionAnswer> answer =
                CompletableFuture.supplyAsync(() -> fleet.act("vm-2", key, request));
        Await.until("the caller has its answer", answer::isDone);
        assertThat(answer.get().getExecution()).isEqualTo(Execution.IN_DOUBT);
        assertThat(answer.get().getProblem().getRetryAfterMs()).isGreaterThan(0);
        fleet.peerLinks.get("vm-1").heal();
        Await.until(
                "the home is reached again",
                () -> fleet.act("vm-2", key, request).getExecution() == Execution.RAN);
        assertThat(fleet.runsOf("silent")).isEqualTo(1);
    }

    @Test
    void anHeirAnswersForAVmThatStoppedGracefully() throws Exception {
        RunActionRequest ran = fleet.refund("vm-1", key, "ran");
        RunActionRequest unbegun = fleet.refund("vm-1", key, "unbegun");
        RunActionAnswer first = fleet.act("vm-1", key, ran);
        fleet.daemons.remove("vm-1").stop();
        Await.until(
                "the heir is known",
                () ->
                        throughEveryVm(ran).stream()
                                .allMatch(answer -> answer.getExecution() == Execution.RAN));
        assertThat(fleet.act("vm-2", key, ran).getBody()).isEqualTo(first.getBody());
        for (RunActionAnswer answer : throughEveryVm(unbegun)) {
            assertThat(answer.getExecution()).isEqualTo(Execution.RAN);
        }
        assertThat(fleet.runsOf("ran")).isEqualTo(1);
        assertThat(fleet.runsOf("unbegun")).isEqualTo(1);
    }

    @Test
    void theSameIdWithAnotherBodyOrTeamIsRefused() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "bound");
        fleet.act("vm-1", key, request);
        RunActionRequest otherBody =
                request.toBuilder().setBody(ByteString.copyFromUtf8("voucher 18")).build();
        assertThat(fleet.act("vm-2", key, otherBody).getProblem().getCode())
                .isEqualTo("ACTION_MISMATCH");
        fleet.change(r -> r.setSetTeam(TestFleet.team("other", 10, 10)));
        String otherKey = fleet.issueKey("other", "first");
        RunActionAnswer answer = fleet.act("vm-1", otherKey, request);
        assertThat(answer.getProblem().getCode()).isEqualTo("ACTION_MISMATCH");
        assertThat(answer.getBody().isEmpty()).isTrue();
        assertThat(fleet.runsOf("bound")).isEqualTo(1);
    }

    @Test
    void runsThroughAPlatformOutage() throws Exception {
        RunActionRequest request = fleet.refund("vm-1", key, "outage");
        fleet.platform.setFaults(true, 0, 0);
        assertThat(fleet.act("vm-3", key, request).getExecution()).isEqualTo(Execution.RAN);
        assertThat(fleet.act("vm-2", key, request).getRepeated()).isTrue();
        assertThat(fleet.runsOf("outage")).isEqualTo(1);
    }
}
