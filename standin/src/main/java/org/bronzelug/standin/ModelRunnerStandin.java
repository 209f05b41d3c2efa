package org.bronzelug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Simulates a model runner: an engine with a prefix cache, a prefill that takes time for each
 * missing token, streamed output, cancellation, resumption, load reports and orders.
 *
 * <p>Faults (POST /control/crash, /control/freeze, /control/cut) act on streams in progress.
 * Thread-safe.
 */
public final class ModelRunnerStandin extends HttpStandin {
    /** Marks a response to a request that certainly had no effect. */
    public static final String NOT_RUN_HEADER = "x-not-run";

    private static final int PRECONDITION_FAILED = 412;
    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Loads in progress at all runners of this process, which share one store of weights. */
    private static final AtomicInteger CURRENT_LOADS = new AtomicInteger();

    private static final AtomicInteger MAXIMUM_LOADS = new AtomicInteger();

    private final RunnerTimes times;
    private volatile boolean checksFencing;
    private final PrefixCache cache;
    private final ReentrantLock prefill = new ReentrantLock(true);
    private final AtomicInteger queuedPrefillTokens = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();
    private volatile String incarnation = newIncarnation();
    private volatile long frozenUntilNanos;
    private volatile int cutAtOffset = -1;
    private volatile long weightsVersion = 1;
    private volatile long highestFencing;
    private volatile boolean loading;

    public ModelRunnerStandin(String host, int port, RunnerTimes times, boolean checksFencing) {
        super(host, port);
        this.times = times;
        this.checksFencing = checksFencing;
        this.cache = new PrefixCache(times.cacheTokens());
    }

    @Override
    protected void addRoutes(JavalinConfig config) {
        config.routes.post("/v1/completions", this::complete);
        config.routes.post("/v1/cancel", this::cancel);
        config.routes.get("/v1/state", this::state);
        config.routes.post("/v1/orders", this::order);
        config.routes.post("/control/crash", context -> crash());
        config.routes.post("/control/freeze", this::freeze);
        config.routes.post("/control/cut", this::cut);
        config.routes.get("/control/log", context -> context.result(String.join("\n", log)));
    }

    private void complete(Context context) throws IOException {
        JsonNode request = JSON.readTree(context.bodyAsBytes());
        String startIncarnation = incarnation;
        JsonNode expected = request.path("expected_incarnation");
        if (!expected.isMissingNode() && !expected.asText().equals(startIncarnation)) {
            reject(context, PRECONDITION_FAILED, "incarnation is " + startIncarnation);
            return;
        }
        String requestId = request.path("request_id").asText();
        log.add("completion " + requestId + " " + request.path("cache_salt").asText());
        running.incrementAndGet();
        try {
            stream(context, request, requestId, startIncarnation);
        } finally {
            running.decrementAndGet();
        }
    }

    private void stream(
            Context context, JsonNode request, String requestId, String startIncarnation)
            throws IOException {
        List<String> segments = new ArrayList<>();
        request.path("segments").forEach(segment -> segments.add(segment.asText()));
        int cached = prefill(request.path("cache_salt").asText(), segments);
        String digest = StandinTokens.digest(String.join("", segments));
        OutputStream out = context.res().getOutputStream();
        int maximum = request.path("max_tokens").asInt();
        for (int offset = request.path("start_offset").asInt(); offset < maximum; offset++) {
            awaitEndOfFreeze();
            if (!incarnation.equals(startIncarnation) || cutAtOffset == offset) {
                throw new IOException("simulated crash of the engine");
            }
            if (cancelled.remove(requestId)) {
                writeLine(out, JSON.createObjectNode().put("cancelled", true));
                return;
            }
            Pause.nanos(times.decodeNanosPerToken());
            writeLine(out, chunk(offset, StandinTokens.output(digest, offset)));
        }
        writeLine(out, end(segments, cached));
    }

    private int prefill(String salt, List<String> segments) {
        int tokens = StandinTokens.count(segments);
        queuedPrefillTokens.addAndGet(tokens);
        prefill.lock();
        try {
            awaitEndOfFreeze();
            int cached = cache.lookUpAndFill(salt, segments);
            Pause.nanos(times.prefillNanosPerToken() * (tokens - cached));
            return cached;
        } finally {
            prefill.unlock();
            queuedPrefillTokens.addAndGet(-tokens);
        }
    }

    private static ObjectNode chunk(int offset, String text) {
        ObjectNode line = JSON.createObjectNode();
        line.put("offset", offset);
        line.put("text", text);
        return line;
    }

    private ObjectNode end(List<String> segments, int cached) {
        ObjectNode line = stateNode();
        line.put("end", true);
        line.put("prompt_tokens", StandinTokens.count(segments));
        line.put("cached_tokens", cached);
        return line;
    }

    private static void writeLine(OutputStream out, ObjectNode line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void cancel(Context context) throws IOException {
        cancelled.add(JSON.readTree(context.bodyAsBytes()).path("request_id").asText());
        context.result("ok");
    }

    private void state(Context context) {
        awaitEndOfFreeze();
        context.result(stateNode().toString());
    }

    private ObjectNode stateNode() {
        ObjectNode state = JSON.createObjectNode();
        state.put("incarnation", incarnation);
        state.put("weights_version", weightsVersion);
        state.put("queued_prefill_tokens", queuedPrefillTokens.get());
        state.put("running", running.get());
        state.put("loading", loading);
        return state;
    }

    /** Sets whether an order with a fencing token below the highest received one is rejected. */
    public void setChecksFencing(boolean checks) {
        checksFencing = checks;
    }

    private void order(Context context) throws IOException {
        JsonNode order = JSON.readTree(context.bodyAsBytes());
        long fencing = order.path("fencing").asLong();
        synchronized (this) {
            if (checksFencing && fencing < highestFencing) {
                reject(context, CONFLICT, "fencing number " + highestFencing + " was seen");
                return;
            }
            highestFencing = Math.max(highestFencing, fencing);
        }
        log.add("order " + fencing + " " + order.path("weights_version").asLong());
        loading = true;
        int currentLoads = CURRENT_LOADS.incrementAndGet();
        MAXIMUM_LOADS.accumulateAndGet(currentLoads, Math::max);
        Pause.millis(times.weightsLoadMillis() * Math.max(1, currentLoads - 1));
        CURRENT_LOADS.decrementAndGet();
        loading = false;
        weightsVersion = order.path("weights_version").asLong();
        cache.clear();
        context.result("ok");
    }

    private static void reject(Context context, int status, String message) {
        context.header(NOT_RUN_HEADER, "true");
        context.status(status).result(message);
    }

    /** Simulates a crash and an immediate restart: aborts the streams and clears the cache. */
    public void crash() {
        cache.clear();
        incarnation = newIncarnation();
    }

    private void freeze(Context context) throws IOException {
        freeze(JSON.readTree(context.bodyAsBytes()).path("millis").asLong());
    }

    /** Suspends the engine for a number of milliseconds, but keeps its connections open. */
    public void freeze(long millis) {
        frozenUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    private void cut(Context context) throws IOException {
        cutAt(JSON.readTree(context.bodyAsBytes()).path("offset").asInt(-1));
    }

    /** Aborts every stream at the chunk with this offset; -1 aborts none. */
    public void cutAt(int offset) {
        cutAtOffset = offset;
    }

    public String incarnation() {
        return incarnation;
    }

    /** Returns the maximum number of concurrent weight loads, over all runners of this process. */
    public static int maximumConcurrentLoads() {
        return MAXIMUM_LOADS.get();
    }

    /** Returns the requests and orders that this runner executed, in order. */
    public List<String> log() {
        return List.copyOf(log);
    }

    private void awaitEndOfFreeze() {
        long remainingNanos = frozenUntilNanos - System.nanoTime();
        if (remainingNanos > 0) {
            Pause.nanos(remainingNanos);
        }
    }

    private static String newIncarnation() {
        return UUID.randomUUID().toString();
    }
}
