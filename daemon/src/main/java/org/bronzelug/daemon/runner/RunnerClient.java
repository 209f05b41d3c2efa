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
import org.bronzelug.daemon.http.BoundedBody;
import org.bronzelug.daemon.http.StrictResponses;
import org.bronzelug.daemon.settings.Settings;
import org.bronzelug.router.http.JsonBody;

/**
 * HTTP client for the calls to endpoints. Blocking; thread-safe.
 *
 * <p>OkHttp's own retry on connection failure is off, because it could send a non-idempotent call
 * twice.
 */
@Singleton
public final class RunnerClient {
    private static final String NOT_RUN_HEADER = "x-not-run";
    private static final String ACTION_ID_HEADER = "x-action-id";
    private static final MediaType JSON_MEDIA_TYPE = MediaType.get("application/json");
    private static final MediaType BINARY_MEDIA_TYPE = MediaType.get("application/octet-stream");
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
                        .addNetworkInterceptor(new StrictResponses())
                        .build();
        stateHttp = http.newBuilder().callTimeout(STATE_TIMEOUT).build();
        orderHttp = http.newBuilder().callTimeout(ORDER_TIMEOUT).build();
    }

    /**
     * Runs one attempt of a generation. Returns when the stream is complete or the listener wants
     * no more chunks.
     */
    public void complete(Endpoint endpoint, CompletionRequest request, CompletionListener listener)
            throws RunnerException, StreamGapException {
        RequestBody body = RequestBody.create(toJson(request).toString(), JSON_MEDIA_TYPE);
        // A server that compresses may delay chunks until its buffer is full.
        Request.Builder post =
                post(endpoint, "/v1/completions", body).header("Accept-Encoding", "identity");
        Call call = http.newCall(post.build());
        endpoint.register(call);
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
            readChunks(endpoint, response.body().source(), listener);
        } catch (IOException broken) {
            throw new RunnerException(
                    endpoint.name() + " failed during the completion: " + broken.getMessage(),
                    false,
                    broken);
        } finally {
            endpoint.unregister(call);
        }
    }

    private void readChunks(Endpoint endpoint, BufferedSource source, CompletionListener listener)
            throws IOException, RunnerException, StreamGapException {
        while (true) {
            Optional<String> line = BoundedBody.readLine(source);
            if (line.isEmpty()) {
                throw new RunnerException(
                        endpoint.name() + " ended the stream without the end line", false);
            }
            // Once the first chunk has arrived, a longer pause means that the engine is frozen.
            source.timeout().timeout(silenceMillis, TimeUnit.MILLISECONDS);
            JsonNode node = JSON.readTree(line.get());
            if (node.path("cancelled").asBoolean(false)) {
                throw new RunnerException(
                        endpoint.name() + " reported that the generation was cancelled", false);
            }
            if (node.path("end").asBoolean(false)) {
                listener.onEnd(node.path("cached_tokens").asInt(), toReport(node));
                return;
            }
            if (!listener.onChunk(node.path("offset").asInt(), node.path("text").asText())) {
                return;
            }
        }
    }

    /** Asks a runner to cancel a generation. Best effort: a failure is ignored. */
    public void cancel(Endpoint endpoint, String requestId) {
        String body = JSON.createObjectNode().put("request_id", requestId).toString();
        RequestBody requestBody = RequestBody.create(body, JSON_MEDIA_TYPE);
        Call call = stateHttp.newCall(post(endpoint, "/v1/cancel", requestBody).build());
        try (Response response = call.execute()) {
            BoundedBody.read(response.body());
        } catch (IOException unreachable) {
            // The engine is unreachable; there is nothing more to do for the generation.
            return;
        }
    }

    /** Reads the state of an endpoint. */
    public EndpointReport state(Endpoint endpoint) throws RunnerException {
        Request request = new Request.Builder().url(endpoint.url() + "/v1/state").build();
        try (Response response = stateHttp.newCall(request).execute()) {
            requireSuccess(endpoint, response);
            return toReport(JsonBody.parseObject(BoundedBody.read(response.body())));
        } catch (IOException unreachable) {
            throw new RunnerException(
                    endpoint.name() + " did not answer the state request", true, unreachable);
        }
    }

    /** Orders a runner to load weights. Returns when the runner has loaded them. */
    public void orderWeights(Endpoint endpoint, long fencing, long weightsVersion)
            throws RunnerException {
        ObjectNode order = JSON.createObjectNode();
        order.put("fencing", fencing);
        order.put("weights_version", weightsVersion);
        RequestBody body = RequestBody.create(order.toString(), JSON_MEDIA_TYPE);
        Call call = orderHttp.newCall(post(endpoint, "/v1/orders", body).build());
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
        } catch (IOException failed) {
            throw new RunnerException(
                    endpoint.name() + " did not answer the order to load weights", false, failed);
        }
    }

    /**
     * Runs one action on an application runner.
     *
     * @param actionId the id by which an endpoint can recognize and reject a second run; empty for
     *     an idempotent action
     * @param timeoutMillis the time after which the outcome of the action is in doubt
     * @return the body of the response
     */
    public byte[] runAction(
            Endpoint endpoint,
            String method,
            Optional<String> actionId,
            byte[] body,
            long timeoutMillis)
            throws RunnerException {
        Request.Builder request =
                post(
                        endpoint,
                        "/v1/actions/" + method,
                        RequestBody.create(body, BINARY_MEDIA_TYPE));
        actionId.ifPresent(id -> request.header(ACTION_ID_HEADER, id));
        Call call = http.newCall(request.build());
        call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        // A failed poll cancels idempotent calls only: the response to a non-idempotent call may
        // still arrive, and without it the outcome is in doubt.
        boolean isIdempotent = actionId.isEmpty();
        if (isIdempotent) {
            endpoint.register(call);
        }
        try (Response response = call.execute()) {
            requireSuccess(endpoint, response);
            return BoundedBody.read(response.body());
        } catch (ConnectException neverSent) {
            throw new RunnerException(endpoint.name() + " refused the connection", true, neverSent);
        } catch (IOException broken) {
            throw new RunnerException(
                    endpoint.name() + " broke off: " + broken.getMessage(), false, broken);
        } finally {
            endpoint.unregister(call);
        }
    }

    /** Closes the idle connections and stops the dispatcher. */
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
