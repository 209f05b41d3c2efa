package org.bronzelug.router.exchange;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.RoutingConfiguration;
import org.bronzelug.core.routing.WeightedPool;
import org.bronzelug.core.stream.StreamOrigin;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.ingress.CallerListener;
import org.bronzelug.router.stream.StreamOriginDirectory;

/**
 * A request with which a caller resumes a stream. It waits until the software version that began
 * the stream is known, and is rejected as not run if that can't be known.
 *
 * <p>Invariant: the request is forwarded once, rejected once, or released because its caller has
 * left. Confined to the traffic thread.
 */
final class StreamResumption implements CallerListener, StreamOriginDirectory.Listener {
    private final AdmittedRequest admitted;
    private final RoutingConfiguration configuration;
    private final FullHttpRequest request;
    private final Outcome outcome;
    private Optional<CallerListener> exchange = Optional.empty();
    private boolean decided;

    /** What is done with the request. */
    interface Outcome {
        /** Starts to forward the request to an endpoint of the stream's version. */
        CallerListener forward(AdmittedRequest admitted, StreamVersion version);

        /** Rejects the request as not run. */
        void reject(AdmittedRequest admitted, Rejection rejection);

        /** Refunds what was charged for a request whose caller has left. */
        void withdraw(AdmittedRequest admitted);
    }

    StreamResumption(
            AdmittedRequest admitted,
            RoutingConfiguration configuration,
            FullHttpRequest request,
            Outcome outcome) {
        this.admitted = admitted;
        this.configuration = configuration;
        this.request = request;
        this.outcome = outcome;
    }

    @Override
    public void onFound(StreamOrigin origin, String source) {
        if (decided) {
            return;
        }
        Optional<EndpointPool> pool = poolOf(origin);
        if (pool.isEmpty()) {
            onUnknown("the route does not lead to pool " + origin.pool() + " any more", 0);
            return;
        }
        decided = true;
        EventLog.info(
                LogEvent.STREAM_ORIGIN_FOUND,
                describe()
                        + (" softwareVersion=" + origin.softwareVersion())
                        + (" pool=" + origin.pool())
                        + (" source=\"" + source + "\""));
        StreamVersion version = StreamVersion.bound(origin.softwareVersion());
        exchange = Optional.of(outcome.forward(admitted.withPool(pool.get()), version));
    }

    /** Returns the pool in which the stream began, if its route still leads there. */
    private Optional<EndpointPool> poolOf(StreamOrigin origin) {
        boolean routed =
                admitted.route().pools().stream()
                        .map(WeightedPool::pool)
                        .anyMatch(origin.pool()::equals);
        return routed ? configuration.pool(origin.pool()) : Optional.empty();
    }

    @Override
    public void onUnknown(String reason, long retryAfterMillis) {
        if (decided) {
            return;
        }
        decided = true;
        EventLog.info(
                LogEvent.STREAM_ORIGIN_UNKNOWN,
                describe() + (" reason=\"" + reason + "\"") + (" retryMillis=" + retryAfterMillis));
        outcome.reject(
                admitted,
                Rejection.retryLater(
                        Forwarder.UNAVAILABLE,
                        "the software version that began the stream is not known",
                        "resume it later, or start it anew",
                        retryAfterMillis));
    }

    private String describe() {
        return ("request=" + admitted.head().id())
                + (" resumes=" + admitted.head().resumedRequest().orElse("-"))
                + (" after=" + admitted.head().lastEventId().orElse("-"));
    }

    @Override
    public void onCallerClosed() {
        exchange.ifPresent(CallerListener::onCallerClosed);
        if (!decided) {
            decided = true;
            request.release();
            outcome.withdraw(admitted);
        }
    }

    @Override
    public void onShutdown() {
        exchange.ifPresent(CallerListener::onShutdown);
        if (!decided) {
            onUnknown("this VM stops", 0);
        }
    }

    @Override
    public void onWritable(boolean writable) {
        exchange.ifPresent(forwarding -> forwarding.onWritable(writable));
    }
}
