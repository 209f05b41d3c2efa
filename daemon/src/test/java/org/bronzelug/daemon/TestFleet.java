package org.bronzelug.daemon;

import com.google.protobuf.ByteString;
import io.grpc.Channel;
import io.grpc.ClientInterceptors;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzelug.api.ChangeAnswer;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.IssueKey;
import org.bronzelug.api.JoinEndpoint;
import org.bronzelug.api.LeaveEndpoint;
import org.bronzelug.api.LocateAnswer;
import org.bronzelug.api.LocateRequest;
import org.bronzelug.api.OperatorGrpc;
import org.bronzelug.api.PoolKind;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.api.RunActionAnswer;
import org.bronzelug.api.RunActionRequest;
import org.bronzelug.api.SetPool;
import org.bronzelug.api.SetTeam;
import org.bronzelug.api.WithdrawKey;
import org.bronzelug.daemon.settings.LimitField;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.kernel.ServiceException;
import org.bronzelug.standin.ApplicationRunnerStandin;
import org.bronzelug.standin.ModelRunnerStandin;
import org.bronzelug.standin.PlatformStandin;
import org.bronzelug.standin.RunnerTimes;

/**
 * The daemons of a test in this process, with stand-ins for the platform and the endpoints. They
 * communicate over real connections on loopback.
 *
 * <p>Used by one test at a time. Closing it stops all of them.
 */
final class TestFleet implements AutoCloseable {
    static final String TEAM = "buchhandel";
    static final String MODEL = "faq";
    static final String MODEL_POOL = "textwerk";
    static final String APPLICATION_POOL = "mitglieder-shop";
    private static final String HOST = "127.0.0.1";
    private static final String SECRET = "a-secret-of-the-operators";

    final PlatformStandin platform = new PlatformStandin(HOST, 0);
    final List<ModelRunnerStandin> models = new ArrayList<>();
    final List<ApplicationRunnerStandin> applications = new ArrayList<>();
    final Map<String, Daemon> daemons = new HashMap<>();
    final Map<String, CuttableLink> peerLinks = new HashMap<>();
    final Map<String, CuttableLink> platformLinks = new HashMap<>();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final Path folder;
    private final Path secretFile;

    TestFleet(Path folder) throws IOException {
        this.folder = folder;
        secretFile = Files.writeString(folder.resolve("operator-secret"), SECRET);
        Files.writeString(folder.resolve("peer-secret"), "a-secret-of-the-daemons");
        platform.start();
    }

    /** Starts daemons vm-1 … vm-n, and waits until each of them serves and sees all others live. */
    TestFleet startDaemons(int count) throws Exception {
        for (int number = 1; number <= count; number++) {
            startDaemon("vm-" + number);
        }
        Await.until(
                "all VMs serve and see each other live",
                () -> daemons.values().stream().allMatch(daemon -> seesAllVms(daemon, count)));
        return this;
    }

    private static boolean seesAllVms(Daemon daemon, int count) {
        var view = daemon.view();
        long live = view.peers().values().stream().filter(peer -> peer.live()).count();
        return daemon.isServing() && view.catalog().roster().size() == count && live == count - 1;
    }

    Daemon startDaemon(String vm) throws IOException, ServiceException {
        CuttableLink peerLink = new CuttableLink();
        CuttableLink platformLink = new CuttableLink();
        platformLink.connectTo(platform.port());
        List<String> seeds = peerLinks.values().stream().map(CuttableLink::address).toList();
        Daemon daemon = new Daemon(settings(vm, peerLink, platformLink, seeds));
        daemon.start();
        String address = daemon.peerAddress();
        peerLink.connectTo(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        daemons.put(vm, daemon);
        Optional.ofNullable(peerLinks.put(vm, peerLink)).ifPresent(CuttableLink::cut);
        platformLinks.put(vm, platformLink);
        return daemon;
    }

    private Settings settings(
            String vm, CuttableLink peerLink, CuttableLink platformLink, List<String> seeds) {
        String anyPort = HOST + ":0";
        return new Settings(
                vm,
                "zone-a",
                new Settings.Listen(anyPort, anyPort, anyPort),
                new Settings.Advertise(Optional.empty(), Optional.of(peerLink.address())),
                "http://" + platformLink.address(),
                seeds,
                folder.resolve("peer-secret").toString(),
                secretFile.toString(),
                new Settings.Limits(
                        LimitField.FRESHNESS_MILLIS.defaultValue(),
                        50,
                        LimitField.REQUEST_DEADLINE_MILLIS.defaultValue(),
                        700,
                        LimitField.DRAIN_MILLIS.defaultValue(),
                        100,
                        (int) LimitField.STREAMS_PER_RUNNER.defaultValue(),
                        (int) LimitField.WAITING_REQUESTS.defaultValue(),
                        (int) LimitField.MAXIMUM_REQUEST_BYTES.defaultValue(),
                        (int) LimitField.MAXIMUM_PEER_FRAME_BYTES.defaultValue()));
    }

    /**
     * Creates the team, a pool of model runners and a pool of application runners, and waits until
     * all VMs see the runners live.
     *
     * @return a key of the team
     */
    String setUp(int modelRunners, int applicationRunners) throws Exception {
        change(r -> r.setSetTeam(team(TEAM, 1_000_000, 1_000_000)));
        change(r -> r.setSetPool(pool(MODEL_POOL, PoolKind.MODEL, MODEL)));
        change(r -> r.setSetPool(pool(APPLICATION_POOL, PoolKind.APPLICATION, "")));
        for (int number = 1; number <= modelRunners; number++) {
            joinModelRunner("model-" + number);
        }
        for (int number = 1; number <= applicationRunners; number++) {
            ApplicationRunnerStandin runner = new ApplicationRunnerStandin(HOST, 0, false);
            runner.start();
            applications.add(runner);
            joinEndpoint(APPLICATION_POOL, "application-" + number, runner.url());
        }
        String key = issueKey(TEAM, "first");
        awaitEndpoints(modelRunners + applicationRunners);
        return key;
    }

    ModelRunnerStandin joinModelRunner(String name) throws Exception {
        RunnerTimes times = new RunnerTimes(10_000, 2_000_000, 100, 200_000);
        ModelRunnerStandin runner = new ModelRunnerStandin(HOST, 0, times, true);
        runner.start();
        models.add(runner);
        joinEndpoint(MODEL_POOL, name, runner.url());
        return runner;
    }

    void awaitEndpoints(int count) throws Exception {
        Await.until(
                "all VMs see the expected number of live endpoints",
                () -> daemons.values().stream().allMatch(d -> d.liveEndpoints() == count));
    }

    static SetTeam team(String name, double rate, double burst) {
        return SetTeam.newBuilder()
                .setTeam(name)
                .setTokensPerSecond(rate)
                .setBurstTokens(burst)
                .build();
    }

    private static SetPool pool(String name, PoolKind kind, String model) {
        return SetPool.newBuilder()
                .setPool(name)
                .setKind(kind)
                .setModel(model)
                .setConcurrentLoads(2)
                .build();
    }

    private void joinEndpoint(String pool, String endpoint, String url) throws Exception {
        change(
                r ->
                        r.setJoinEndpoint(
                                JoinEndpoint.newBuilder()
                                        .setPool(pool)
                                        .setEndpoint(endpoint)
                                        .setUrl(url)));
    }

    ChangeAnswer leaveEndpoint(String endpoint) throws Exception {
        return change(
                r ->
                        r.setLeaveEndpoint(
                                LeaveEndpoint.newBuilder()
                                        .setPool(MODEL_POOL)
                                        .setEndpoint(endpoint)));
    }

    String issueKey(String team, String name) throws Exception {
        return change(r -> r.setIssueKey(IssueKey.newBuilder().setTeam(team).setKeyName(name)))
                .getKey();
    }

    ChangeAnswer withdrawKey(String team, String name) throws Exception {
        return change(
                r -> r.setWithdrawKey(WithdrawKey.newBuilder().setTeam(team).setKeyName(name)));
    }

    /** Sets the change in a request. */
    interface Change {
        ChangeRequest.Builder fill(ChangeRequest.Builder request);
    }

    ChangeAnswer change(Change change) {
        return change("vm-1", change);
    }

    ChangeAnswer change(String vm, Change change) {
        ChangeRequest.Builder request =
                ChangeRequest.newBuilder().setOperatorName("tester").setReason("test");
        return operator(vm).change(change.fill(request).build());
    }

    OperatorGrpc.OperatorBlockingStub operator(String vm) {
        return OperatorGrpc.newBlockingStub(channel(vm, "bronzelug-operator", SECRET));
    }

    RouterGrpc.RouterBlockingStub router(String vm, String key) {
        return RouterGrpc.newBlockingStub(channel(vm, "bronzelug-key", key));
    }

    private Channel channel(String vm, String header, String value) {
        ManagedChannel channel =
                NettyChannelBuilder.forTarget("dns:///" + daemons.get(vm).callerAddress())
                        .usePlaintext()
                        .build();
        channels.add(channel);
        Metadata headers = new Metadata();
        headers.put(Metadata.Key.of(header, Metadata.ASCII_STRING_MARSHALLER), value);
        return ClientInterceptors.intercept(
                channel, MetadataUtils.newAttachHeadersInterceptor(headers));
    }

    static GenerateRequest prompt(String id, int tokens) {
        return GenerateRequest.newBuilder()
                .setRequestId(id)
                .setModel(MODEL)
                .addSegments("rules ".repeat(100))
                .addSegments("sheet ".repeat(50))
                .addSegments("question")
                .setMaxTokens(tokens)
                .build();
    }

    /** A stream as its caller received it. */
    record Received(List<Integer> offsets, String text, GenerateEvent last) {}

    static Received receive(Iterator<GenerateEvent> events) {
        List<Integer> offsets = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        GenerateEvent last = GenerateEvent.getDefaultInstance();
        while (events.hasNext()) {
            last = events.next();
            if (last.hasChunk()) {
                offsets.add(last.getChunk().getOffset());
                text.append(last.getChunk().getText());
            }
        }
        return new Received(offsets, text.toString(), last);
    }

    LocateAnswer locate(String vm, String key) {
        return router(vm, key).locate(LocateRequest.getDefaultInstance());
    }

    RunActionRequest refundRequest(String vm, String key, String suffix) {
        return RunActionRequest.newBuilder()
                .setActionId(locate(vm, key).getActionPrefix() + suffix)
                .setPool(APPLICATION_POOL)
                .setMethod("refund")
                .setBody(ByteString.copyFromUtf8("voucher 17"))
                .build();
    }

    RunActionAnswer runAction(String vm, String key, RunActionRequest request) {
        return router(vm, key).runAction(request);
    }

    /** Reads the metrics of a VM over HTTP. */
    String metrics(String vm) throws Exception {
        return read("http://" + daemons.get(vm).monitorAddress() + "/metrics");
    }

    static String read(String url) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url)).build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        }
    }

    long runCount(String suffix) {
        return applications.stream()
                .flatMap(runner -> runner.log().stream())
                .filter(line -> line.contains("." + suffix + " "))
                .count();
    }

    @Override
    public void close() throws IOException {
        channels.forEach(ManagedChannel::shutdownNow);
        daemons.values().forEach(Daemon::kill);
        models.forEach(ModelRunnerStandin::stop);
        applications.forEach(ApplicationRunnerStandin::stop);
        platform.stop();
        for (CuttableLink link : peerLinks.values()) {
            link.close();
        }
        for (CuttableLink link : platformLinks.values()) {
            link.close();
        }
    }
}
