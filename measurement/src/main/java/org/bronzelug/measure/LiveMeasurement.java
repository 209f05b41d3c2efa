package org.bronzelug.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.HdrHistogram.Histogram;
import org.bronzelug.api.ChangeRequest;
import org.bronzelug.api.GenerateEvent;
import org.bronzelug.api.GenerateRequest;
import org.bronzelug.api.IssueKey;
import org.bronzelug.api.OperatorGrpc;
import org.bronzelug.api.RouterGrpc;
import org.bronzelug.api.SetTeam;
import org.bronzelug.client.Channels;
import org.bronzelug.client.Credential;

/**
 * Measures the latency that the router adds, by comparing requests through a VM with requests sent
 * directly to a runner, with real processes on loopback. Sends one request at a time, alternating
 * between the two routes, so that both are measured under the same conditions. Not thread-safe.
 */
final class LiveMeasurement {
    private static final String TEAM = "measure";
    private static final String MODEL = "faq";
    private static final int WARM_UP_REQUESTS = 600;
    private static final int REQUESTS_PER_ROUND = 200;
    private static final int OUTPUT_TOKENS = 6;
    private static final long MAXIMUM_NANOS = 10_000_000_000L;

    private final ObjectMapper json = new ObjectMapper();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> sharedSegments = List.of("rules ".repeat(400), "sheet ".repeat(200));
    private final String runner;
    private final RouterGrpc.RouterBlockingStub router;

    private LiveMeasurement(String runner, RouterGrpc.RouterBlockingStub router) {
        this.runner = runner;
        this.router = router;
    }

    /** The latencies of one route, direct or through a VM. */
    private record Latencies(Histogram firstToken, Histogram betweenTokens) {
        Latencies() {
            this(new Histogram(MAXIMUM_NANOS, 3), new Histogram(MAXIMUM_NANOS, 3));
        }
    }

    /**
     * Measures a running system and prints the latencies.
     *
     * @param vm the address at which one of its VMs listens for callers
     * @param operatorSecret the file that holds the operators' secret
     * @param runner the address of one of its model runners
     * @param rounds the number of measured rounds
     */
    static void run(PrintStream out, String vm, Path operatorSecret, String runner, int rounds)
            throws IOException, InterruptedException {
        try (Channels channels = new Channels()) {
            String key = issueKey(channels, vm, Files.readString(operatorSecret).trim());
            RouterGrpc.RouterBlockingStub router =
                    RouterGrpc.newBlockingStub(channels.to(vm))
                            .withCallCredentials(Credential.ofKey(key));
            new LiveMeasurement(runner, router).compare(out, rounds);
        }
    }

    private static String issueKey(Channels channels, String vm, String secret) {
        OperatorGrpc.OperatorBlockingStub operator =
                OperatorGrpc.newBlockingStub(channels.to(vm))
                        .withCallCredentials(Credential.ofOperator(secret));
        ChangeRequest change =
                ChangeRequest.newBuilder().setOperatorName(TEAM).setReason(TEAM).build();
        SetTeam team =
                SetTeam.newBuilder()
                        .setTeam(TEAM)
                        .setTokensPerSecond(1e9)
                        .setBurstTokens(1e9)
                        .build();
        operator.change(change.toBuilder().setSetTeam(team).build());
        IssueKey key = IssueKey.newBuilder().setTeam(TEAM).setKeyName("live").build();
        return operator.change(change.toBuilder().setIssueKey(key).build()).getKey();
    }

    private void compare(PrintStream out, int rounds) throws IOException, InterruptedException {
        sendRequests(new Latencies(), new Latencies(), WARM_UP_REQUESTS);
        List<Latencies> direct = new ArrayList<>();
        List<Latencies> routed = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            direct.add(new Latencies());
            routed.add(new Latencies());
            sendRequests(direct.getLast(), routed.getLast(), REQUESTS_PER_ROUND);
        }
        out.printf(
                "%d rounds of %d requests each way, %d tokens; ms, median (least–most) of rounds%n",
                rounds, REQUESTS_PER_ROUND, OUTPUT_TOKENS);
        out.printf("%-26s %-24s %-24s %-24s%n", "", "direct", "through a VM", "added");
        for (double percentile : new double[] {50, 99}) {
            printRow(out, "first token p" + (int) percentile, direct, routed, true, percentile);
            printRow(out, "between tokens p" + (int) percentile, direct, routed, false, percentile);
        }
    }

    private static void printRow(
            PrintStream out,
            String name,
            List<Latencies> direct,
            List<Latencies> routed,
            boolean isFirst,
            double percentile) {
        List<Double> directMillis = new ArrayList<>();
        List<Double> routedMillis = new ArrayList<>();
        List<Double> addedMillis = new ArrayList<>();
        for (int round = 0; round < direct.size(); round++) {
            directMillis.add(percentileMillis(direct.get(round), isFirst, percentile));
            routedMillis.add(percentileMillis(routed.get(round), isFirst, percentile));
            addedMillis.add(routedMillis.getLast() - directMillis.getLast());
        }
        out.printf(
                "%-26s %-24s %-24s %-24s%n",
                name, Spread.of(directMillis), Spread.of(routedMillis), Spread.of(addedMillis));
    }

    private static double percentileMillis(
            Latencies latencies, boolean isFirst, double percentile) {
        Histogram histogram = isFirst ? latencies.firstToken : latencies.betweenTokens;
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    private void sendRequests(Latencies direct, Latencies routed, int requests)
            throws IOException, InterruptedException {
        for (int request = 0; request < requests; request++) {
            List<String> segments = new ArrayList<>(sharedSegments);
            segments.add("question " + UUID.randomUUID());
            sendDirect(direct, segments);
            sendRouted(routed, segments);
        }
    }

    private void sendDirect(Latencies latencies, List<String> segments)
            throws IOException, InterruptedException {
        Map<String, Object> body =
                Map.of(
                        "request_id",
                        UUID.randomUUID().toString(),
                        "cache_salt",
                        "direct",
                        "segments",
                        segments,
                        "max_tokens",
                        OUTPUT_TOKENS);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(runner + "/v1/completions"))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(json.writeValueAsBytes(body)))
                        .build();
        long lastNanos = System.nanoTime();
        HttpResponse<InputStream> response =
                http.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            boolean isFirst = true;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.contains("\"offset\"")) {
                    lastNanos = record(latencies, isFirst, lastNanos);
                    isFirst = false;
                }
            }
        }
    }

    private void sendRouted(Latencies latencies, List<String> segments) {
        GenerateRequest request =
                GenerateRequest.newBuilder()
                        .setRequestId(UUID.randomUUID().toString())
                        .setModel(MODEL)
                        .addAllSegments(segments)
                        .setMaxTokens(OUTPUT_TOKENS)
                        .build();
        long lastNanos = System.nanoTime();
        boolean isFirst = true;
        for (Iterator<GenerateEvent> events = router.generate(request); events.hasNext(); ) {
            GenerateEvent event = events.next();
            if (event.hasProblem()) {
                throw new IllegalStateException("refused: " + event.getProblem());
            }
            if (event.hasChunk()) {
                lastNanos = record(latencies, isFirst, lastNanos);
                isFirst = false;
            }
        }
    }

    private static long record(Latencies latencies, boolean isFirst, long lastNanos) {
        long nowNanos = System.nanoTime();
        (isFirst ? latencies.firstToken : latencies.betweenTokens)
                .recordValue(nowNanos - lastNanos);
        return nowNanos;
    }
}
