package org.bronzelug.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.util.Base64;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform's object API: versioned objects, conditional updates, watches.
 *
 * <p>Can be told to be down, to be slow, and to lose the answers of writes that took effect (POST
 * /control/faults). Every committed value gets a version higher than all before. Thread-safe.
 */
public final class PlatformStandin extends HttpStandin {
    /** As the brief says: values up to a megabyte. */
    private static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final AtomicLong calls = new AtomicLong();
    private long revision;
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile int answersToLose;

    public PlatformStandin(String host, int port) {
        super(host, port);
    }

    @Override
    protected void addRoutes(JavalinConfig config) {
        config.routes.get("/v1/objects", context -> guarded(context, () -> list(context)));
        config.routes.put("/v1/objects/<key>", context -> guarded(context, () -> put(context)));
        config.routes.get("/v1/objects/<key>", context -> guarded(context, () -> get(context)));
        config.routes.get("/v1/watch", context -> guarded(context, () -> watch(context)));
        config.routes.post("/control/faults", this::setFaults);
        config.routes.get("/control/calls", context -> context.result(Long.toString(calls.get())));
    }

    /** One API call after the faults. */
    private interface ApiCall {
        void run() throws IOException;
    }

    private void guarded(Context context, ApiCall call) throws IOException {
        calls.incrementAndGet();
        Pause.millis(delayMillis);
        if (down) {
            context.status(UNAVAILABLE).result("the platform is down");
            return;
        }
        call.run();
        if (down) {
            context.status(UNAVAILABLE).result("the platform went down");
        }
    }

    private void list(Context context) {
        context.result(changesAfter(0, prefixOf(context)).toString());
    }

    private synchronized void get(Context context) {
        Stored stored = objects.get(context.pathParam("key"));
        if (stored == null) {
            context.status(404).result("no such object");
        } else {
            context.result(toJson(context.pathParam("key"), stored).toString());
        }
    }

    private void put(Context context) {
        byte[] value = context.bodyAsBytes();
        if (value.length > MAXIMUM_VALUE_BYTES) {
            context.status(413).result("expected at most 1048576 bytes, met " + value.length);
            return;
        }
        long expected = Long.parseLong(context.queryParam("expected_version"));
        long committed = commit(context.pathParam("key"), expected, value);
        if (committed < 0) {
            context.status(CONFLICT).result(Long.toString(-committed - 1));
            return;
        }
        if (loseThisAnswer()) {
            context.status(UNAVAILABLE).result("the answer was lost");
            return;
        }
        context.result(Long.toString(committed));
    }

    /** The version committed; or -1 - (the present version) where another was expected. */
    private synchronized long commit(String key, long expected, byte[] value) {
        Stored stored = objects.get(key);
        long present = stored == null ? 0 : stored.version;
        if (present != expected) {
            return -1 - present;
        }
        revision++;
        objects.put(key, new Stored(revision, value));
        notifyAll();
        return revision;
    }

    private synchronized boolean loseThisAnswer() {
        if (answersToLose <= 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    private void watch(Context context) {
        long after = Long.parseLong(context.queryParam("after"));
        long waitMillis = Long.parseLong(context.queryParam("wait_ms"));
        awaitRevisionAbove(after, waitMillis);
        context.result(changesAfter(after, prefixOf(context)).toString());
    }

    private synchronized void awaitRevisionAbove(long after, long waitMillis) {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        try {
            while (revision <= after && !down) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    return;
                }
                wait(left);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized ObjectNode changesAfter(long after, String prefix) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("revision", revision);
        ArrayNode list = answer.putArray("objects");
        objects.forEach(
                (key, stored) -> {
                    if (key.startsWith(prefix) && stored.version > after) {
                        list.add(toJson(key, stored));
                    }
                });
        return answer;
    }

    private static ObjectNode toJson(String key, Stored stored) {
        ObjectNode node = JSON.createObjectNode();
        node.put("key", key);
        node.put("version", stored.version);
        node.put("value", Base64.getEncoder().encodeToString(stored.value));
        return node;
    }

    private static String prefixOf(Context context) {
        String prefix = context.queryParam("prefix");
        return prefix == null ? "" : prefix;
    }

    private void setFaults(Context context) throws IOException {
        JsonNode faults = JSON.readTree(context.bodyAsBytes());
        setFaults(
                faults.path("down").asBoolean(false),
                faults.path("delay_ms").asLong(0),
                faults.path("lose_answers").asInt(0));
        context.result("ok");
    }

    /**
     * Sets the faults from now on.
     *
     * @param nowDown whether all calls fail
     * @param nowDelayMillis how long each call waits first
     * @param loseAnswers the number of writes whose answers are lost after they took effect
     */
    public synchronized void setFaults(boolean nowDown, long nowDelayMillis, int loseAnswers) {
        down = nowDown;
        delayMillis = nowDelayMillis;
        answersToLose = loseAnswers;
        notifyAll();
    }

    public long calls() {
        return calls.get();
    }

    /** A committed value. */
    private record Stored(long version, byte[] value) {}
}
