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
 * The time that the router adds, against a direct connection to a runner in the same run, with real
 * processes on loopback. Requests go one at a time, in turns. Not thread-safe.
 */
final class LiveMeasurement {
    private static final String TEAM = "measure";
    private static final String MODEL = "faq";
    private static final int WARM_UP = 600;
    private static final int REQUESTS = 200;
    private static final int TOKENS = 6;
    private static final long HIGHEST_NANOS = 10_000_000_000L;

    private final ObjectMapper json = new ObjectMapper();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> shared = List.of("rules ".repeat(400), "sheet ".repeat(200));
    private final String runner;
    private final RouterGrpc.RouterBlockingStub router;

    private LiveMeasurement(String runner, RouterGrpc.RouterBlockingStub router) {
        this.runner = runner;
        this.router = router;
    }

    /** The times of one way. */
    private record Times(Histogram firstToken, Histogram between) {
        Times() {
            this(new Histogram(HIGHEST_NANOS, 3), new Histogram(HIGHEST_NANOS, 3));
        }
    }

    /**
     * Measures a running system.
     *
     * @param vm where one of its VMs listens for callers
     * @param runner the address of one of its model runners
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
        measure(new Times(), new Times(), WARM_UP);
        List<Times> direct = new ArrayList<>();
        List<Times> routed = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            direct.add(new Times());
            routed.add(new Times());
            measure(direct.getLast(), routed.getLast(), REQUESTS);
        }
        out.printf(
                "%d rounds of %d requests each way, %d tokens; ms, median (least–most) of rounds%n",
                rounds, REQUESTS, TOKENS);
        out.printf("%-26s %-24s %-24s %-24s%n", "", "direct", "through a VM", "added");
        for (double percentile : new double[] {50, 99}) {
            row(out, "first token p" + (int) percentile, direct, routed, true, percentile);
            row(out, "between tokens p" + (int) percentile, direct, routed, false, percentile);
        }
    }

    private static void row(
            PrintStream out,
            String name,
            List<Times> direct,
            List<Times> routed,
            boolean first,
            double percentile) {
        List<Double> own = new ArrayList<>();
        List<Double> with = new ArrayList<>();
        List<Double> added = new ArrayList<>();
        for (int round = 0; round < direct.size(); round++) {
            own.add(millis(direct.get(round), first, percentile));
            with.add(millis(routed.get(round), first, percentile));
            added.add(with.getLast() - own.getLast());
        }
        out.printf(
                "%-26s %-24s %-24s %-24s%n",
                name, Spread.of(own), Spread.of(with), Spread.of(added));
    }

    private static double millis(Times times, boolean first, double percentile) {
        Histogram histogram = first ? times.firstToken : times.between;
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    private void measure(Times direct, Times routed, int requests)
            throws IOException, InterruptedException {
        for (int request = 0; request < requests; request++) {
            List<String> segments = new ArrayList<>(shared);
            segments.add("question " + UUID.randomUUID());
            directly(direct, segments);
            routed(routed, segments);
        }
    }

    private void directly(Times times, List<String> segments)
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
                        TOKENS);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(runner + "/v1/completions"))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(json.writeValueAsBytes(body)))
                        .build();
        long before = System.nanoTime();
        HttpResponse<InputStream> response =
                http.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            boolean first = true;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.contains("\"offset\"")) {
                    before = record(times, first, before);
                    first = false;
                }
            }
        }
    }

    private void routed(Times times, List<String> segments) {
        GenerateRequest request =
                GenerateRequest.newBuilder()
                        .setRequestId(UUID.randomUUID().toString())
                        .setModel(MODEL)
                        .addAllSegments(segments)
                        .setMaxTokens(TOKENS)
                        .build();
        long before = System.nanoTime();
        boolean first = true;
        for (Iterator<GenerateEvent> events = router.generate(request); events.hasNext(); ) {
            GenerateEvent event = events.next();
            if (event.hasProblem()) {
                throw new IllegalStateException("refused: " + event.getProblem());
            }
            if (event.hasChunk()) {
                before = record(times, first, before);
                first = false;
            }
        }
    }

    private static long record(Times times, boolean first, long before) {
        long now = System.nanoTime();
        (first ? times.firstToken : times.between).recordValue(now - before);
        return now;
    }
}
