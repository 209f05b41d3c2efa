package org.bronzelug.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
import org.bronzelug.daemon.http.BoundedBody;
import org.bronzelug.daemon.http.StrictResponses;
import org.bronzelug.router.http.JsonBody;

/**
 * HTTP client for the platform's object API. Each method makes one call, which has a deadline and
 * is counted.
 *
 * <p>The client does not retry, since only the code that uses it knows whether a write may be sent
 * again. Thread-safe.
 */
public final class PlatformClient {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final MediaType BINARY_MEDIA_TYPE = MediaType.get("application/octet-stream");
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final HttpUrl baseUrl;
    private final OkHttpClient http;
    private final AtomicLong calls = new AtomicLong();

    public PlatformClient(String url) {
        baseUrl = HttpUrl.get(url);
        http =
                new OkHttpClient.Builder()
                        .callTimeout(CALL_TIMEOUT)
                        .retryOnConnectionFailure(false)
                        .addNetworkInterceptor(new StrictResponses())
                        .build();
    }

    /** A consistent set of objects, complete up to the revision. */
    public record Listing(long revision, List<VersionedObject> objects) {}

    /** Reads all objects. */
    public Listing list() throws PlatformException {
        return listing(url("objects").build());
    }

    /**
     * Long-polls for objects committed after a revision.
     *
     * @param waitMillis the maximum wait, after which an empty listing is returned if nothing was
     *     committed
     */
    public Listing watch(long afterRevision, long waitMillis) throws PlatformException {
        HttpUrl.Builder url = url("watch");
        url.addQueryParameter("after", Long.toString(afterRevision));
        url.addQueryParameter("wait_ms", Long.toString(waitMillis));
        return listing(url.build());
    }

    /** Reads one object; empty if it does not exist. */
    public Optional<VersionedObject> get(String key) throws PlatformException {
        Request request = new Request.Builder().url(objectUrl(key).build()).build();
        try (Response response = execute(request)) {
            if (response.code() == NOT_FOUND) {
                return Optional.empty();
            }
            requireSuccess(response);
            return Optional.of(toObject(JsonBody.parseObject(BoundedBody.read(response.body()))));
        } catch (IOException failed) {
            throw new PlatformException("reading " + key + " failed", failed);
        }
    }

    /**
     * Writes a value if the object still has the expected version.
     *
     * @param expectedVersion 0 if the object must not exist yet
     * @throws PlatformException if no usable response arrived; the value may or may not be
     *     committed
     */
    public WriteResult put(String key, long expectedVersion, byte[] value)
            throws PlatformException {
        HttpUrl.Builder url = objectUrl(key);
        url.addQueryParameter("expected_version", Long.toString(expectedVersion));
        RequestBody body = RequestBody.create(value, BINARY_MEDIA_TYPE);
        Request request = new Request.Builder().url(url.build()).put(body).build();
        try (Response response = execute(request)) {
            long version = 0;
            if (response.isSuccessful() || response.code() == CONFLICT) {
                version =
                        Long.parseLong(
                                new String(
                                        BoundedBody.read(response.body()),
                                        StandardCharsets.US_ASCII));
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

    /** Returns the number of calls made so far. Each {@link #watch} is one call. */
    public long calls() {
        return calls.get();
    }

    /** Closes the idle connections and stops the dispatcher. */
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private Listing listing(HttpUrl url) throws PlatformException {
        try (Response response = execute(new Request.Builder().url(url).build())) {
            requireSuccess(response);
            JsonNode responseBody = JsonBody.parseObject(BoundedBody.read(response.body()));
            List<VersionedObject> objects = new ArrayList<>();
            responseBody.path("objects").forEach(node -> objects.add(toObject(node)));
            return new Listing(responseBody.path("revision").asLong(), objects);
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

    private HttpUrl.Builder url(String path) {
        return baseUrl.newBuilder().addPathSegments("v1/" + path);
    }

    private HttpUrl.Builder objectUrl(String key) {
        return url("objects").addPathSegments(key);
    }
}
