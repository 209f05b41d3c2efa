package org.bronzelug.daemon.runner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.bronzelug.core.stream.StreamGapException;
import org.bronzelug.daemon.settings.Settings;

/**
 * The calls to endpoints over HTTP. Blocking; thread-safe.
 *
 * <p>OkHttp's own retry on connection failure is off: it would send a non-idempotent call twice.
 */
@Singleton
public final class RunnerClient {
    private static final String NOT_RUN_HEADER = "x-not-run";
    private static final String ACTION_ID_HEADER = "x-action-id";
    private static final MediaType JSON_TYPE = MediaType.get("application/json");
    private static final MediaType BINARY = MediaType.get("application/octet-stream");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration STATE_TIMEOUT = Duration.ofMillis(700);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(20);
    private static final int IDLE_CONNECTIONS = 256;
    private static final int MAXIMUM_CALLS = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final OkHttpClient http;
    private final OkHttpClient stateHttp;
    private final OkHttpClient orderHttp;
    private final long silenceMillis;

    @Inject
    public RunnerClient(Settings settings) {
        silenceMillis = settings.limits().runnerSilenceMillis();
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CALLS);
        http =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
                        .connectTimeout(CONNECT_TIMEOUT)
                        .readTimeout(Duration.ZERO)
                        .retryOnConnectionFailure(false)
                        .build();
        stateHttp = http.newBuilder().callTimeout(STATE_TIMEOUT).build();
        orderHttp = http.newBuilder().callTimeout(ORDER_TIMEOUT).build();
    }

    /** Runs one attempt of a generation until its end, a cancel, or a failure. */
    public void complete(Endpoint endpoint, CompletionRequest request, CompletionListener listener)
            throws RunnerException, StreamGapException {
        RequestBody body = RequestBody.create(toJson(request).toString(), JSON_TYPE);
        // A compressing server may hold chunks back until its buffer is full.
        Request.Builder post =
                post(endpoint, "/v1/completions", body).header("Accept-Encoding", "identity");
        Call call = http.newCall(post.build());
        endpoint.register(call);
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
            readChunks(endpoint, response.body().source(), listener);
        } catch (IOException broken) {
            throw new RunnerException(
                    endpoint.name() + " broke off: " + broken.getMessage(), false, broken);
        } finally {
            endpoint.unregister(call);
        }
    }

    private void readChunks(Endpoint endpoint, BufferedSource source, CompletionListener listener)
            throws IOException, RunnerException, StreamGapException {
        while (true) {
            String line = source.readUtf8Line();
            if (line == null) {
                throw new RunnerException(endpoint.name() + " ended before the end line", false);
            }
            // From the first chunk on, silence means that the engine stands still.
            source.timeout().timeout(silenceMillis, TimeUnit.MILLISECONDS);
            JsonNode node = JSON.readTree(line);
            if (node.path("cancelled").asBoolean(false)) {
                throw new RunnerException(endpoint.name() + " was told to stop", false);
            }
            if (node.path("end").asBoolean(false)) {
                listener.end(node.path("cached_tokens").asInt(), toReport(node));
                return;
            }
            if (!listener.chunk(node.path("offset").asInt(), node.path("text").asText())) {
                return;
            }
        }
    }

    /** Tells a runner to stop a generation; best effort. */
    public void cancel(Endpoint endpoint, String requestId) {
        String body = JSON.createObjectNode().put("request_id", requestId).toString();
        RequestBody requestBody = RequestBody.create(body, JSON_TYPE);
        Call call = stateHttp.newCall(post(endpoint, "/v1/cancel", requestBody).build());
        try (Response response = call.execute()) {
            response.body().bytes();
        } catch (IOException unreachable) {
            // The engine is gone, and the generation with it.
            return;
        }
    }

    /** Asks an endpoint for its state. */
    public EndpointReport state(Endpoint endpoint) throws RunnerException {
        Request request = new Request.Builder().url(endpoint.url() + "/v1/state").build();
        try (Response response = stateHttp.newCall(request).execute()) {
            requireSuccess(endpoint, response);
            return toReport(JSON.readTree(response.body().bytes()));
        } catch (IOException unreachable) {
            throw new RunnerException(endpoint.name() + " does not answer", true, unreachable);
        }
    }

    /** Orders a runner to load weights; returns when it has. */
    public void order(Endpoint endpoint, long fencing, long weightsVersion) throws RunnerException {
        ObjectNode order = JSON.createObjectNode();
        order.put("fencing", fencing);
        order.put("weights_version", weightsVersion);
        RequestBody body = RequestBody.create(order.toString(), JSON_TYPE);
        Call call = orderHttp.newCall(post(endpoint, "/v1/orders", body).build());
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
        } catch (IOException failed) {
            throw new RunnerException(endpoint.name() + " did not answer the order", false, failed);
        }
    }

    /**
     * Runs one call of an application runner.
     *
     * @param actionId for an endpoint that refuses a second run by itself
     * @param timeoutMillis after which the call's outcome is in doubt
     */
    public byte[] act(
            Endpoint endpoint,
            String method,
            Optional<String> actionId,
            byte[] body,
            long timeoutMillis)
            throws RunnerException {
        Request.Builder request =
                post(endpoint, "/v1/actions/" + method, RequestBody.create(body, BINARY));
        actionId.ifPresent(id -> request.header(ACTION_ID_HEADER, id));
        Call call = http.newCall(request.build());
        call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        // A call that may not be repeated is never broken off by a failed poll: its answer may
        // still come, and without it the call is in doubt.
        boolean mayBreakOff = actionId.isEmpty();
        if (mayBreakOff) {
            endpoint.register(call);
        }
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
            return response.body().bytes();
        } catch (ConnectException neverSent) {
            throw new RunnerException(endpoint.name() + " refused the connection", true, neverSent);
        } catch (IOException broken) {
            throw new RunnerException(
                    endpoint.name() + " broke off: " + broken.getMessage(), false, broken);
        } finally {
            endpoint.unregister(call);
        }
    }

    /** Frees the connections. */
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private static Request.Builder post(Endpoint endpoint, String path, RequestBody body) {
        return new Request.Builder().url(endpoint.url() + path).post(body);
    }

    private static void requireSuccess(Endpoint endpoint, Response response)
            throws RunnerException {
        if (!response.isSuccessful()) {
            boolean notRun = "true".equals(response.header(NOT_RUN_HEADER));
            throw new RunnerException(endpoint.name() + " answered " + response.code(), notRun);
        }
    }

    private static ObjectNode toJson(CompletionRequest request) {
        ObjectNode node = JSON.createObjectNode();
        node.put("request_id", request.requestId());
        node.put("expected_incarnation", request.expectedIncarnation());
        node.put("cache_salt", request.cacheSalt());
        ArrayNode segments = node.putArray("segments");
        request.segments().forEach(segments::add);
        node.put("max_tokens", request.maximumTokens());
        node.put("start_offset", request.startOffset());
        node.put("text_so_far", request.textSoFar());
        node.put("priority", request.priority());
        return node;
    }

    private static EndpointReport toReport(JsonNode node) {
        return new EndpointReport(
                node.path("incarnation").asText(),
                node.path("weights_version").asLong(),
                node.path("queued_prefill_tokens").asInt(),
                node.path("running").asInt(),
                node.path("loading").asBoolean());
    }
}
