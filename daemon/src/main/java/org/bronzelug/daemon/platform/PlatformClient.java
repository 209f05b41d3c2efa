package org.bronzelug.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.bronzelug.core.configuration.VersionedObject;

/**
 * The platform's object API over HTTP: one method a call, each with a deadline, each counted.
 *
 * <p>Retrying is the callers' part, since only they know whether a write may be repeated.
 * Thread-safe.
 */
public final class PlatformClient {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final MediaType BINARY = MediaType.get("application/octet-stream");
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpUrl base;
    private final OkHttpClient http;
    private final AtomicLong calls = new AtomicLong();

    public PlatformClient(String url) {
        base = HttpUrl.get(url);
        http =
                new OkHttpClient.Builder()
                        .callTimeout(CALL_TIMEOUT)
                        .retryOnConnectionFailure(false)
                        .build();
    }

    /** A consistent set of objects, and the revision up to which it is complete. */
    public record Listing(long revision, List<VersionedObject> objects) {}

    /** Reads all objects. */
    public Listing list() throws PlatformException {
        return listing(url("objects").build());
    }

    /**
     * Waits for objects committed after a revision.
     *
     * @param waitMillis the longest wait; an empty listing then shows that nothing was committed
     */
    public Listing watch(long afterRevision, long waitMillis) throws PlatformException {
        HttpUrl.Builder url = url("watch");
        url.addQueryParameter("after", Long.toString(afterRevision));
        url.addQueryParameter("wait_ms", Long.toString(waitMillis));
        return listing(url.build());
    }

    /** Reads one object; empty where there is none. */
    public Optional<VersionedObject> get(String key) throws PlatformException {
        Request request = new Request.Builder().url(objectUrl(key).build()).build();
        try (Response response = execute(request)) {
            if (response.code() == NOT_FOUND) {
                return Optional.empty();
            }
            requireSuccess(response);
            return Optional.of(toObject(JSON.readTree(response.body().bytes())));
        } catch (IOException failed) {
            throw new PlatformException("reading " + key + " failed", failed);
        }
    }

    /**
     * Commits a value if the object still has the version expected; 0 expects no object.
     *
     * @throws PlatformException where the answer is missing: the value may be committed or not
     */
    public WriteResult put(String key, long expectedVersion, byte[] value)
            throws PlatformException {
        HttpUrl.Builder url = objectUrl(key);
        url.addQueryParameter("expected_version", Long.toString(expectedVersion));
        RequestBody body = RequestBody.create(value, BINARY);
        Request request = new Request.Builder().url(url.build()).put(body).build();
        try (Response response = execute(request)) {
            long version = 0;
            if (response.isSuccessful() || response.code() == CONFLICT) {
                version = Long.parseLong(response.body().string());
            }
            if (response.code() == CONFLICT) {
                return new WriteResult.Conflict(version);
            }
            requireSuccess(response);
            return new WriteResult.Committed(version);
        } catch (IOException | NumberFormatException failed) {
            throw new PlatformException("the answer to writing " + key + " was lost", failed);
        }
    }

    /** Calls made so far, each watch counted as one. */
    public long calls() {
        return calls.get();
    }

    /** Frees the connections. */
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private Listing listing(HttpUrl url) throws PlatformException {
        try (Response response = execute(new Request.Builder().url(url).build())) {
            requireSuccess(response);
            JsonNode answer = JSON.readTree(response.body().bytes());
            List<VersionedObject> objects = new ArrayList<>();
            answer.path("objects").forEach(node -> objects.add(toObject(node)));
            return new Listing(answer.path("revision").asLong(), objects);
        } catch (IOException failed) {
            throw new PlatformException("reading the objects failed", failed);
        }
    }

    private Response execute(Request request) throws IOException {
        calls.incrementAndGet();
        return http.newCall(request).execute();
    }

    private static void requireSuccess(Response response) throws PlatformException {
        if (!response.isSuccessful()) {
            throw new PlatformException("the platform answered " + response.code());
        }
    }

    private static VersionedObject toObject(JsonNode node) {
        byte[] value = Base64.getDecoder().decode(node.path("value").asText());
        return new VersionedObject(node.path("key").asText(), node.path("version").asLong(), value);
    }

    private HttpUrl.Builder url(String part) {
        return base.newBuilder().addPathSegments("v1/" + part);
    }

    private HttpUrl.Builder objectUrl(String key) {
        return url("objects").addPathSegments(key);
    }
}
