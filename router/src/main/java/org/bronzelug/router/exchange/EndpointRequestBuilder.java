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
import org.bronzelug.core.placement.PromptUrgency;
import org.bronzelug.core.routing.CacheStore;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.Team;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Makes the requests that endpoints get of one admitted request. Confined to the traffic thread.
 *
 * <p>Cache entries are kept apart by the version of the weights: the salt names it, and the request
 * runs on that version only. The failure this prevents: a runner fetches entries that another one
 * made under older weights, and generates from a memory that does not fit.
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
     * The request for one endpoint.
     *
     * @param runner present where tokens are generated
     * @param lastEventId of a stream that goes on elsewhere
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
        boolean bodiless =
                !request.content().isReadable()
                        && (request.method().equals(HttpMethod.GET)
                                || request.method().equals(HttpMethod.HEAD));
        if (!bodiless) {
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
                runner.isPresent() ? OptionalInt.of(urgency()) : OptionalInt.empty(),
                weightsVersion(runner),
                runner.map(choice -> "v" + choice.weightsVersion() + "/" + admitted.wall()),
                store,
                store.filter(address -> saving),
                lastEventId.isPresent()
                        ? Optional.of(String.valueOf(lastEventId.getAsLong()))
                        : admitted.head().lastEventId());
    }

    /** Whether the last request that was built tells the runner to save what it reads. */
    boolean isSaving() {
        return saving;
    }

    /** What is left until the caller's deadline; zero or less once it has passed. */
    OptionalLong remainingMillis(long nowNanos) {
        OptionalLong deadline = admitted.head().deadlineMillis();
        if (deadline.isEmpty()) {
            return deadline;
        }
        long elapsedMillis = (nowNanos - admitted.arrivedNanos()) / NANOS_PER_MILLI;
        return OptionalLong.of(deadline.getAsLong() - elapsedMillis);
    }

    /** Whether the caller's deadline has passed, so that no endpoint is to be sent the request. */
    boolean isExpired(long nowNanos) {
        OptionalLong remaining = remainingMillis(nowNanos);
        return remaining.isPresent() && remaining.getAsLong() <= 0;
    }

    private static OptionalLong weightsVersion(Optional<RunnerChoice> runner) {
        return runner.filter(choice -> choice.weightsVersion() > 0)
                .map(choice -> OptionalLong.of(choice.weightsVersion()))
                .orElseGet(OptionalLong::empty);
    }

    private int urgency() {
        OptionalInt teamRank = admitted.team().map(Team::priority).orElse(OptionalInt.empty());
        return PromptUrgency.of(teamRank, admitted.route().priority());
    }
}
