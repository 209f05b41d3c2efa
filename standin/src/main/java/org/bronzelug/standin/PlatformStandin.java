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
 * Simulates the platform's object API: versioned objects, conditional updates and watches.
 *
 * <p>Faults (POST /control/faults): all calls fail, calls are delayed, responses to committed
 * writes are lost. Every committed value gets a version higher than all earlier ones. Thread-safe.
 */
public final class PlatformStandin extends HttpStandin {
    /** The platform's limit for the size of a value: one megabyte. */
    private static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final AtomicLong calls = new AtomicLong();
    private long revision;
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile int responsesToLose;

    public PlatformStandin(String host, int port) {
        super(host, port);
    }

    @Override
    protected void addRoutes(JavalinConfig config) {
        config.routes.get("/v1/objects", context -> withFaults(context, () -> list(context)));
        config.routes.put("/v1/objects/<key>", context -> withFaults(context, () -> put(context)));
        config.routes.get("/v1/objects/<key>", context -> withFaults(context, () -> get(context)));
        config.routes.get("/v1/watch", context -> withFaults(context, () -> watch(context)));
        config.routes.post("/control/faults", this::setFaults);
        config.routes.get("/control/calls", context -> context.result(Long.toString(calls.get())));
    }

    /** The action of one API call, after the simulated faults. */
    private interface ApiCall {
        void run() throws IOException;
    }

    private void withFaults(Context context, ApiCall call) throws IOException {
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
        if (consumeResponseLoss()) {
            context.status(UNAVAILABLE).result("the answer was lost");
            return;
        }
        context.result(Long.toString(committed));
    }

    /**
     * Returns the committed version, or -1 - (the current version) if the current version is not
     * the expected one.
     */
    private synchronized long commit(String key, long expected, byte[] value) {
        Stored stored = objects.get(key);
        long currentVersion = stored == null ? 0 : stored.version;
        if (currentVersion != expected) {
            return -1 - currentVersion;
        }
        revision++;
        objects.put(key, new Stored(revision, value));
        notifyAll();
        return revision;
    }

    private synchronized boolean consumeResponseLoss() {
        if (responsesToLose <= 0) {
            return false;
        }
        responsesToLose--;
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
                long remainingMillis = (end - System.nanoTime()) / 1_000_000;
                if (remainingMillis <= 0) {
                    return;
                }
                wait(remainingMillis);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized ObjectNode changesAfter(long after, String prefix) {
        ObjectNode response = JSON.createObjectNode();
        response.put("revision", revision);
        ArrayNode list = response.putArray("objects");
        objects.forEach(
                (key, stored) -> {
                    if (key.startsWith(prefix) && stored.version > after) {
                        list.add(toJson(key, stored));
                    }
                });
        return response;
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
     * @param newDown whether all calls fail
     * @param newDelayMillis how long each call waits first
     * @param lostResponses the number of next writes whose responses are lost after the commit
     */
    public synchronized void setFaults(boolean newDown, long newDelayMillis, int lostResponses) {
        down = newDown;
        delayMillis = newDelayMillis;
        responsesToLose = lostResponses;
        notifyAll();
    }

    public long calls() {
        return calls.get();
    }

    /** A committed value. */
    private record Stored(long version, byte[] value) {}
}
