package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.bronzelug.core.routing.CacheStore;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.Team;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Builds the requests that are sent to endpoints for one admitted request.
 *
 * <p>Cache entries are separated by the version of the weights: the cache salt contains it, and the
 * request may run on that version only. Without this, a runner could fetch entries that another
 * runner computed with older weights, and generate from a state that does not match its own
 * weights. Confined to the traffic thread.
 */
final class EndpointRequestBuilder {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final WireFormat wire;
    private final AdmittedRequest admitted;
    private boolean saving;

    EndpointRequestBuilder(TrafficState state, WireFormat wire, AdmittedRequest admitted) {
        this.state = state;
        this.wire = wire;
        this.admitted = admitted;
    }

    /**
     * Builds the request for one endpoint.
     *
     * @param runner the choice of the runner; empty for requests without a prompt
     * @param lastEventId id of the last event that the caller has got of a stream to be resumed
     */
    FullHttpRequest build(
            FullHttpRequest request,
            EndpointState endpoint,
            Optional<RunnerChoice> runner,
            OptionalLong lastEventId,
            long nowNanos) {
        Dispatch dispatch = dispatch(endpoint, runner, lastEventId, nowNanos);
        HttpHeaders headers = wire.endpointHeaders(request, dispatch);
        headers.set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST));
        boolean withoutBody =
                !request.content().isReadable()
                        && (request.method().equals(HttpMethod.GET)
                                || request.method().equals(HttpMethod.HEAD));
        if (!withoutBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        }
        return new DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                request.content().retainedDuplicate(),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }

    private Dispatch dispatch(
            EndpointState endpoint,
            Optional<RunnerChoice> runner,
            OptionalLong lastEventId,
            long nowNanos) {
        Optional<String> store =
                runner.flatMap(choice -> state.configuration())
                        .flatMap(RoutingConfiguration::cacheStore)
                        .map(CacheStore::address);
        saving = runner.map(choice -> state.choice().shouldSave(choice, nowNanos)).orElse(false);
        return new Dispatch(
                admitted.head().id(),
                endpoint.entry().id(),
                admitted.team().map(Team::name),
                runner.isPresent() ? OptionalInt.of(admitted.urgency()) : OptionalInt.empty(),
                weightsVersion(runner),
                runner.map(
                        choice -> "v" + choice.weightsVersion() + "/" + admitted.cachePartition()),
                store,
                store.filter(address -> saving),
                lastEventId.isPresent()
                        ? Optional.of(String.valueOf(lastEventId.getAsLong()))
                        : admitted.head().lastEventId());
    }

    /** Returns whether the last request built tells the runner to save the prompt's prefix. */
    boolean isSaving() {
        return saving;
    }

    /**
     * Returns the time left until the caller's deadline, zero or less once it has passed; empty if
     * there is none.
     */
    OptionalLong remainingMillis(long nowNanos) {
        OptionalLong deadline = admitted.head().deadlineMillis();
        if (deadline.isEmpty()) {
            return deadline;
        }
        long elapsedMillis = (nowNanos - admitted.arrivedNanos()) / NANOS_PER_MILLI;
        return OptionalLong.of(deadline.getAsLong() - elapsedMillis);
    }

    /**
     * Returns whether the caller's deadline has passed, so the request must not be sent any more.
     */
    boolean isExpired(long nowNanos) {
        OptionalLong remaining = remainingMillis(nowNanos);
        return remaining.isPresent() && remaining.getAsLong() <= 0;
    }

    private static OptionalLong weightsVersion(Optional<RunnerChoice> runner) {
        return runner.filter(choice -> choice.weightsVersion() > 0)
                .map(choice -> OptionalLong.of(choice.weightsVersion()))
                .orElseGet(OptionalLong::empty);
    }
}
