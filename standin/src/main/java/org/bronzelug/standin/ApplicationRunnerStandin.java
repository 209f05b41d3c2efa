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
 * An application runner: a plain service some of whose calls may not be repeated.
 *
 * <p>It logs each run, so that a test can tell what really ran. Faults: answers lost after the run,
 * a delay, definitive refusals. Thread-safe.
 */
public final class ApplicationRunnerStandin extends HttpStandin {
    /** Names the call to an endpoint that refuses a second run by itself. */
    public static final String ACTION_ID_HEADER = "x-action-id";

    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final boolean deduplicates;
    private final String incarnation = UUID.randomUUID().toString();
    private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private volatile long delayMillis;

    public ApplicationRunnerStandin(String host, int port, boolean deduplicates) {
        super(host, port);
        this.deduplicates = deduplicates;
    }

    @Override
    protected void addRoutes(JavalinConfig config) {
        config.routes.post("/v1/actions/{method}", this::act);
        config.routes.get("/v1/state", context -> context.result(state()));
        config.routes.get("/control/log", context -> context.result(String.join("\n", log)));
        config.routes.post("/control/faults", this::setFaults);
    }

    private String state() {
        return JSON.createObjectNode().put("incarnation", incarnation).toString();
    }

    private void act(Context context) throws IOException {
        if (refusals.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            context.header(ModelRunnerStandin.NOT_RUN_HEADER, "true");
            context.status(CONFLICT).result("refused before it ran");
            return;
        }
        Pause.millis(delayMillis);
        String id = context.header(ACTION_ID_HEADER);
        String answer = deduplicates && id != null ? runOnce(context, id) : run(context, id);
        if (answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            throw new IOException("the answer is lost");
        }
        context.result(answer);
    }

    private String runOnce(Context context, String id) {
        return answers.computeIfAbsent(id, ignored -> run(context, id));
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

    /** Sets how many of the next answers are lost, how many calls refused, and the delay. */
    public void setFaults(int loseAnswers, int refuseCalls, long nowDelayMillis) {
        answersToLose.set(loseAnswers);
        refusals.set(refuseCalls);
        delayMillis = nowDelayMillis;
    }

    /** What this runner ran, in order: method, action id, body. */
    public List<String> log() {
        return List.copyOf(log);
    }
}
