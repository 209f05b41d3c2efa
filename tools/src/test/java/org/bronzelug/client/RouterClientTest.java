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
 * A caller's stream is whole although its VM dies in the middle.
 *
 * <p>What the caller would see: an answer that breaks off. The order: the stream runs through one
 * VM, the VM dies after some chunks, the client goes on at another VM with the chunks it holds.
 * Why: the second VM knows nothing of the stream but what the client tells it.
 */
class RouterClientTest {
    /** Three, so that those left are a majority and one can take the team's rate over. */
    private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");

    private static final int CHUNKS = 300;
    private static final int KILLED_AFTER = 20;
    private static final String SECRET = "a-secret-of-the-operators";

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
        Files.writeString(folder.resolve("operators"), SECRET);
        for (String vm : VMS) {
            Daemon daemon = new Daemon(settings(vm));
            daemon.start();
            daemons.put(vm, daemon);
        }
        awaitAll();
    }

    @AfterEach
    void stop() {
        channels.close();
        daemons.values().forEach(Daemon::kill);
        runner.stop();
        platform.stop();
    }

    private void awaitAll() {
        while (daemons.values().stream().anyMatch(RouterClientTest::missesOne)) {
            Thread.onSpinWait();
        }
    }

    private static boolean missesOne(Daemon daemon) {
        return daemon.view().catalog().roster().size() < VMS.size();
    }

    private Settings settings(String vm) {
        String any = "127.0.0.1:0";
        return new Settings(
                vm,
                "zone-a",
                new Settings.Listen(any, any, any),
                new Settings.Advertise(Optional.empty(), Optional.empty()),
                platform.url(),
                List.of(),
                folder.resolve("peers").toString(),
                folder.resolve("operators").toString(),
                new Settings.Limits(
                        LimitField.FRESHNESS_MILLIS.usual(),
                        LimitField.PROBE_MILLIS.usual(),
                        LimitField.REQUEST_DEADLINE_MILLIS.usual(),
                        LimitField.RUNNER_SILENCE_MILLIS.usual(),
                        LimitField.DRAIN_MILLIS.usual(),
                        0,
                        (int) LimitField.STREAMS_PER_RUNNER.usual(),
                        (int) LimitField.WAITING_REQUESTS.usual(),
                        (int) LimitField.MAXIMUM_REQUEST_BYTES.usual(),
                        (int) LimitField.MAXIMUM_PEER_FRAME_BYTES.usual()));
    }

    private String setUp() {
        OperatorGrpc.OperatorBlockingStub operator =
                OperatorGrpc.newBlockingStub(channels.to(daemons.get("vm-1").callerAddress()))
                        .withCallCredentials(Credential.ofOperator(SECRET));
        ChangeRequest empty = ChangeRequest.getDefaultInstance();
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
        operator.change(empty.toBuilder().setSetTeam(team).build());
        operator.change(empty.toBuilder().setSetPool(pool).build());
        operator.change(empty.toBuilder().setJoinEndpoint(join).build());
        return operator.change(empty.toBuilder().setIssueKey(key).build()).getKey();
    }

    @Test
    void aStreamIsWholeThoughItsVmDies() throws Exception {
        String key = setUp();
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
        String serving = client.locate("faq", request.getSegments(0)).getVms(0).getVm();
        List<Integer> offsets = new ArrayList<>();
        Finished finished =
                client.generate(
                        request,
                        chunk -> {
                            offsets.add(chunk.getOffset());
                            if (offsets.size() == KILLED_AFTER) {
                                daemons.get(serving).kill();
                            }
                        });
        assertThat(offsets).isEqualTo(IntStream.range(0, CHUNKS).boxed().toList());
        assertThat(finished.getVm()).isNotEqualTo(serving);
    }
}
