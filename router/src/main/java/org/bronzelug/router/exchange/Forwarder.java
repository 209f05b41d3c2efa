package org.bronzelug.router.exchange;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.bronzelug.core.key.KeyDigest;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.IngressLimits;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.Team;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.ingress.CallerConnection;
import org.bronzelug.router.ingress.CallerListener;
import org.bronzelug.router.ingress.RequestHandler;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Admits the requests of callers, and starts an {@link Exchange} for each admitted one.
 *
 * <p>Admission decodes the request, finds its route, authenticates its team by the key, and takes
 * the request's tokens out of the team's rate. A request that fails one of these steps is rejected
 * immediately and reaches no endpoint. A request that needs no key, because its route is anonymous
 * or the configuration has no keys, is charged to no team.
 *
 * <p>Invariant: each request that is passed to {@link #handle} is either rejected or owned by one
 * exchange. Tokens are taken only for requests that get an exchange, which refunds them if the
 * request is then rejected as not run. Confined to the traffic thread.
 */
public final class Forwarder implements RequestHandler {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    static final int UNAVAILABLE = 503;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Retry delay while this VM has no configuration; it gets one within about 100 ms after its
     * start, unless the platform is down.
     */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 300;

    private static final CallerListener NO_OP_LISTENER =
            new CallerListener() {
                @Override
                public void onCallerClosed() {
                    // The response is complete: no request is in flight.
                }

                @Override
                public void onWritable(boolean writable) {
                    // The response was written whole.
                }

                @Override
                public void onShutdown() {
                    // The response was written whole.
                }
            };

    private final EventLoop traffic;
    private final TrafficState state;
    private final WireFormat wire;
    private final RouterMetrics metrics;
    private final WaitingRequests waiting;
    private boolean stopping;

    public Forwarder(
            EventLoop traffic, TrafficState state, WireFormat wire, RouterMetrics metrics) {
        this.traffic = traffic;
        this.state = state;
        this.wire = wire;
        this.metrics = metrics;
        this.waiting = new WaitingRequests(traffic, state, metrics);
        state.setUpdateListener(waiting::tryAgainSoon);
    }

    @Override
    public IngressLimits limits() {
        return state.configuration()
                .map(RoutingConfiguration::limits)
                .orElseGet(IngressLimits::defaults);
    }

    @Override
    public boolean isStopping() {
        return stopping;
    }

    /**
     * Makes all connections close after their next response.
     *
     * @param lateMillis time after which only requests that are expected to end are sent
     * @param endMillis time for which requests may still wait for an endpoint, and by which they
     *     are to end
     */
    public void beginStop(long lateMillis, long endMillis) {
        stopping = true;
        waiting.stopAfter(endMillis);
        long nowNanos = System.nanoTime();
        state.stopAdmission()
                .begin(
                        nowNanos + lateMillis * NANOS_PER_MILLI,
                        nowNanos + endMillis * NANOS_PER_MILLI);
    }

    @Override
    public CallerListener handle(
            FullHttpRequest request, CallerConnection caller, long arrivedNanos) {
        RequestHead head;
        try {
            head = wire.decodeRequest(request);
        } catch (MalformedRequestException malformed) {
            Rejection rejection =
                    Rejection.of(BAD_REQUEST, malformed.getMessage(), "correct the request");
            return reject("-", request, caller, rejection.closing());
        }
        metrics.arrived();
        Optional<RoutingConfiguration> configuration = state.configuration();
        if (configuration.isEmpty()) {
            return reject(
                    head.id(),
                    request,
                    caller,
                    Rejection.retryLater(
                            UNAVAILABLE,
                            "no configuration known yet",
                            "retry later",
                            NO_CONFIGURATION_RETRY_MILLIS));
        }
        return admit(head, request, caller, configuration.get(), arrivedNanos);
    }

    private CallerListener admit(
            RequestHead head,
            FullHttpRequest request,
            CallerConnection caller,
            RoutingConfiguration configuration,
            long arrivedNanos) {
        Optional<Route> route = configuration.route(head.host(), head.path());
        if (route.isEmpty()) {
            return reject(
                    head.id(),
                    request,
                    caller,
                    Rejection.of(NOT_FOUND, "no route", "check host and path"));
        }
        Optional<Team> team = head.key().map(KeyDigest::of).flatMap(configuration::teamOf);
        boolean keyRequired = configuration.needsKeys() && !route.get().anonymous();
        if (keyRequired && team.isEmpty()) {
            return reject(
                    head.id(),
                    request,
                    caller,
                    Rejection.of(UNAUTHORIZED, "unknown key", "present a key of a team"));
        }
        Optional<Team> chargedTeam = keyRequired ? team : Optional.empty();
        long tokens = chargedTeam.map(present -> tokens(head, present)).orElse(0L);
        if (chargedTeam.isPresent()
                && !state.rates().tryAcquire(chargedTeam.get(), tokens, arrivedNanos)) {
            metrics.rejectedOverRate();
            return reject(
                    head.id(), request, caller, overRate(chargedTeam.get(), tokens, arrivedNanos));
        }
        AdmittedRequest admitted =
                new AdmittedRequest(
                        head,
                        route.get(),
                        chargedTeam,
                        tokens,
                        state.configuration().flatMap(present -> poolOf(present, route.get())),
                        configuration.version(),
                        arrivedNanos);
        if (!admitted.resumesStream()) {
            StreamVersion version = StreamVersion.unbound(new OriginRecorder(admitted));
            return forward(request, caller, admitted, version);
        }
        StreamResumption resumption =
                new StreamResumption(
                        admitted, configuration, request, new ResumptionOutcome(request, caller));
        Optional<String> onlyPool =
                admitted.pool()
                        .map(EndpointPool::name)
                        .filter(name -> route.get().pools().size() == 1);
        state.origins().find(admitted.resumedStreamKey(), onlyPool, resumption);
        return resumption;
    }

    /** Records the origin of a stream that this VM begins. Confined to the traffic thread. */
    private final class OriginRecorder implements StreamVersion.Listener {
        private final AdmittedRequest admitted;

        private OriginRecorder(AdmittedRequest admitted) {
            this.admitted = admitted;
        }

        @Override
        public void onBegun(EndpointEntry endpoint) {
            state.origins()
                    .recordBegun(
                            admitted.streamKey(),
                            endpoint.pool(),
                            endpoint.softwareVersion(),
                            admitted.limitNanos());
        }

        @Override
        public void onComplete() {
            state.origins().recordComplete(admitted.streamKey());
        }
    }

    private CallerListener forward(
            FullHttpRequest request,
            CallerConnection caller,
            AdmittedRequest admitted,
            StreamVersion version) {
        Exchange exchange =
                new Exchange(
                        traffic, state, wire, metrics, waiting, request, caller, admitted, version);
        exchange.start();
        return exchange;
    }

    private void refund(AdmittedRequest admitted) {
        admitted.team().ifPresent(team -> state.rates().refund(team, admitted.tokens()));
    }

    /** Carries out what is decided on a resumption. Confined to the traffic thread. */
    private final class ResumptionOutcome implements StreamResumption.Outcome {
        private final FullHttpRequest request;
        private final CallerConnection caller;

        private ResumptionOutcome(FullHttpRequest request, CallerConnection caller) {
            this.request = request;
            this.caller = caller;
        }

        @Override
        public CallerListener forward(AdmittedRequest admitted, StreamVersion version) {
            metrics.count("stream_origins_found");
            return Forwarder.this.forward(request, caller, admitted, version);
        }

        @Override
        public void reject(AdmittedRequest admitted, Rejection rejection) {
            metrics.count("stream_origins_unknown");
            refund(admitted);
            Forwarder.this.reject(admitted.head().id(), request, caller, rejection);
        }

        @Override
        public void withdraw(AdmittedRequest admitted) {
            refund(admitted);
        }
    }

    private static Optional<EndpointPool> poolOf(RoutingConfiguration configuration, Route route) {
        return configuration.pool(route.pool(Math.random()));
    }

    private static long tokens(RequestHead head, Team team) {
        return head.prompt().map(PromptSpec::totalTokens).orElse(team.plainTokens());
    }

    private Rejection overRate(Team team, long tokens, long nowNanos) {
        long millis = state.rates().nanosUntil(team, tokens, nowNanos) / NANOS_PER_MILLI + 1;
        return Rejection.retryLater(
                TOO_MANY,
                "team " + team.name() + " over its rate by " + tokens + " tokens",
                "retry later",
                millis);
    }

    private CallerListener reject(
            String id, FullHttpRequest request, CallerConnection caller, Rejection rejection) {
        request.release();
        metrics.rejected(rejection.status());
        EventLog.info(
                LogEvent.REQUEST_REFUSED,
                "request="
                        + id
                        + " status="
                        + rejection.status()
                        + " reason=\""
                        + rejection.reason()
                        + "\" configuration="
                        + state.configuration().map(RoutingConfiguration::version).orElse(0L));
        caller.reject(rejection);
        return NO_OP_LISTENER;
    }
}
