package org.bronzelug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates an application runner: a plain service with some calls that must not be retried.
 *
 * <p>The runner logs each execution, so that a test can check what really ran. Faults: responses
 * lost after the execution, a delay, rejections before the execution. Thread-safe.
 */
public final class ApplicationRunnerStandin extends HttpStandin {
    /** The id of an action; an endpoint that deduplicates executes each id only once. */
    public static final String ACTION_ID_HEADER = "x-action-id";

    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final boolean deduplicates;
    private final String incarnation = UUID.randomUUID().toString();
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();
    private final Map<String, String> responsesById = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger responsesToLose = new AtomicInteger();
    private final AtomicInteger callsToReject = new AtomicInteger();
    private volatile long delayMillis;

    public ApplicationRunnerStandin(String host, int port, boolean deduplicates) {
        super(host, port);
        this.deduplicates = deduplicates;
    }

    @Override
    protected void addRoutes(JavalinConfig config) {
        config.routes.post("/v1/actions/{method}", this::handleAction);
        config.routes.get("/v1/state", context -> context.result(stateJson()));
        config.routes.get("/control/log", context -> context.result(String.join("\n", log)));
        config.routes.post("/control/faults", this::setFaults);
    }

    private String stateJson() {
        return JSON.createObjectNode().put("incarnation", incarnation).toString();
    }

    private void handleAction(Context context) throws IOException {
        if (callsToReject.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
            context.header(ModelRunnerStandin.NOT_RUN_HEADER, "true");
            context.status(CONFLICT).result("refused before it ran");
            return;
        }
        Pause.millis(delayMillis);
        String id = context.header(ACTION_ID_HEADER);
        String response = deduplicates && id != null ? runOnce(context, id) : run(context, id);
        if (responsesToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
            throw new IOException("simulated loss of the response");
        }
        context.result(response);
    }

    private String runOnce(Context context, String id) {
        return responsesById.computeIfAbsent(id, ignored -> run(context, id));
    }

    private String run(Context context, String id) {
        String body = new String(context.bodyAsBytes(), StandardCharsets.UTF_8);
        log.add(context.pathParam("method") + " " + id + " " + body);
        return "run " + runs.incrementAndGet() + " of " + context.pathParam("method");
    }

    private void setFaults(Context context) throws IOException {
        JsonNode faults = JSON.readTree(context.bodyAsBytes());
        setFaults(
                faults.path("lose_answers").asInt(0),
                faults.path("refusals").asInt(0),
                faults.path("delay_ms").asLong(0));
        context.result("ok");
    }

    /**
     * Sets the faults from now on.
     *
     * @param lostResponses the number of next calls whose responses are lost
     * @param rejectedCalls the number of next calls that are rejected
     * @param newDelayMillis how long each call waits first
     */
    public void setFaults(int lostResponses, int rejectedCalls, long newDelayMillis) {
        responsesToLose.set(lostResponses);
        callsToReject.set(rejectedCalls);
        delayMillis = newDelayMillis;
    }

    /** Returns the executions of this runner in order, each as method, action id and body. */
    public List<String> log() {
        return List.copyOf(log);
    }
}
