package org.bronzelug.client;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.Finished;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.IssueKey;
import org.bronzelug.api.JoinEndpoint;
import org.bronzelug.api.OperatorGrpc;
import org.bronzelug.api.PoolKind;
import org.bronzelug.api.SetPool;
import org.bronzelug.api.SetTeam;
import org.bronzelug.daemon.Daemon;
import org.bronzelug.daemon.settings.LimitField;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.standin.ModelRunnerStandin;
import org.bronzelug.standin.PlatformStandin;
import org.bronzelug.standin.RunnerTimes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against truncated streams when a VM dies during a generation.
 *
 * <p>The VM that serves the stream is killed after some chunks. The client must resume the stream
 * on another VM and send it the text received so far, because that VM has no other record of the
 * stream.
 */
class RouterClientTest {
    /**
     * Three VMs, so that the remaining two are a majority and one of them can take ownership of the
     * team's rate.
     */
    private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");

    private static final int CHUNKS = 300;
    private static final int KILL_AFTER_CHUNKS = 20;
    private static final String OPERATOR_SECRET = "a-secret-of-the-operators";

    @TempDir Path folder;
    private final PlatformStandin platform = new PlatformStandin("127.0.0.1", 0);
    private final ModelRunnerStandin runner =
            new ModelRunnerStandin(
                    "127.0.0.1", 0, new RunnerTimes(1_000, 2_000_000, 100, 100_000), true);
    private final Map<String, Daemon> daemons = new HashMap<>();
    private final Channels channels = new Channels();

    @BeforeEach
    void start() throws Exception {
        platform.start();
        runner.start();
        Files.writeString(folder.resolve("peers"), "a-secret-of-the-daemons");
        Files.writeString(folder.resolve("operators"), OPERATOR_SECRET);
        for (String vm : VMS) {
            Daemon daemon = new Daemon(settings(vm));
            daemon.start();
            daemons.put(vm, daemon);
        }
        awaitCompleteRosters();
    }

    @AfterEach
    void stop() {
        channels.close();
        daemons.values().forEach(Daemon::kill);
        runner.stop();
        platform.stop();
    }

    private void awaitCompleteRosters() {
        while (daemons.values().stream().anyMatch(RouterClientTest::hasIncompleteRoster)) {
            Thread.onSpinWait();
        }
    }

    private static boolean hasIncompleteRoster(Daemon daemon) {
        return daemon.view().catalog().roster().size() < VMS.size();
    }

    private Settings settings(String vm) {
        String anyPort = "127.0.0.1:0";
        return new Settings(
                vm,
                "zone-a",
                new Settings.Listen(anyPort, anyPort, anyPort),
                new Settings.Advertise(Optional.empty(), Optional.empty()),
                platform.url(),
                List.of(),
                folder.resolve("peers").toString(),
                folder.resolve("operators").toString(),
                new Settings.Limits(
                        LimitField.FRESHNESS_MILLIS.defaultValue(),
                        LimitField.PROBE_MILLIS.defaultValue(),
                        LimitField.REQUEST_DEADLINE_MILLIS.defaultValue(),
                        LimitField.RUNNER_SILENCE_MILLIS.defaultValue(),
                        LimitField.DRAIN_MILLIS.defaultValue(),
                        0,
                        (int) LimitField.STREAMS_PER_RUNNER.defaultValue(),
                        (int) LimitField.WAITING_REQUESTS.defaultValue(),
                        (int) LimitField.MAXIMUM_REQUEST_BYTES.defaultValue(),
                        (int) LimitField.MAXIMUM_PEER_FRAME_BYTES.defaultValue()));
    }

    private String createTeamWithPool() {
        OperatorGrpc.OperatorBlockingStub operator =
                OperatorGrpc.newBlockingStub(channels.to(daemons.get("vm-1").callerAddress()))
                        .withCallCredentials(Credential.ofOperator(OPERATOR_SECRET));
        ChangeRequest emptyChange = ChangeRequest.getDefaultInstance();
        SetTeam team =
                SetTeam.newBuilder()
                        .setTeam("team")
                        .setTokensPerSecond(100_000)
                        .setBurstTokens(100_000)
                        .build();
        SetPool pool =
                SetPool.newBuilder()
                        .setPool("pool")
                        .setKind(PoolKind.MODEL)
                        .setModel("faq")
                        .build();
        JoinEndpoint join =
                JoinEndpoint.newBuilder()
                        .setPool("pool")
                        .setEndpoint("runner")
                        .setUrl(runner.url())
                        .build();
        IssueKey key = IssueKey.newBuilder().setTeam("team").setKeyName("first").build();
        operator.change(emptyChange.toBuilder().setSetTeam(team).build());
        operator.change(emptyChange.toBuilder().setSetPool(pool).build());
        operator.change(emptyChange.toBuilder().setJoinEndpoint(join).build());
        return operator.change(emptyChange.toBuilder().setIssueKey(key).build()).getKey();
    }

    @Test
    void streamIsCompleteAfterItsVmDies() throws Exception {
        String key = createTeamWithPool();
        List<String> vms = daemons.values().stream().map(Daemon::callerAddress).toList();
        RouterClient client = new RouterClient(channels, Credential.ofKey(key), vms);
        GenerateRequest request =
                GenerateRequest.newBuilder()
                        .setRequestId("stream")
                        .setModel("faq")
                        .addSegments("rules ".repeat(20))
                        .addSegments("question")
                        .setMaxTokens(CHUNKS)
                        .build();
        String servingVm = client.locate("faq", request.getSegments(0)).getVms(0).getVm();
        List<Integer> offsets = new ArrayList<>();
        Finished finished =
                client.generate(
                        request,
                        chunk -> {
                            offsets.add(chunk.getOffset());
                            if (offsets.size() == KILL_AFTER_CHUNKS) {
                                daemons.get(servingVm).kill();
                            }
                        });
        assertThat(offsets).isEqualTo(IntStream.range(0, CHUNKS).boxed().toList());
        assertThat(finished.getVm()).isNotEqualTo(servingVm);
    }
}
