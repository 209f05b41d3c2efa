package org.bronzelug.router.traffic;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Notifies the requests at an endpoint when no request may begin on its weights any more, so that
 * those that wait there are withdrawn in time. How long a request waits at an endpoint can't be
 * known when it is sent: the endpoint may stand still, or newer weights may be published meanwhile.
 * Confined to the traffic thread.
 */
final class WeightsExpiry {
    private final EventLoop traffic;
    private final EndpointTable endpoints;
    private final WeightsAges ages;
    private Optional<ScheduledFuture<?>> next = Optional.empty();

    WeightsExpiry(EventLoop traffic, EndpointTable endpoints, WeightsAges ages) {
        this.traffic = traffic;
        this.endpoints = endpoints;
        this.ages = ages;
    }

    /** Notifies the requests at endpoints that have expired, and waits for the next expiry. */
    void update() {
        next.ifPresent(scheduled -> scheduled.cancel(false));
        next = Optional.empty();
        long nowNanos = System.nanoTime();
        long earliestNanos = Long.MAX_VALUE;
        for (EndpointState endpoint : endpoints.allAndRemoved()) {
            if (ages.remainingNanos(endpoint, nowNanos).anyMatch(nanos -> nanos <= 0)) {
                endpoint.expireWeights();
            }
            long endpointNanos =
                    ages.remainingNanos(endpoint, nowNanos)
                            .filter(nanos -> nanos > 0)
                            .min()
                            .orElse(Long.MAX_VALUE);
            earliestNanos = Math.min(earliestNanos, endpointNanos);
        }
        if (earliestNanos < Long.MAX_VALUE) {
            next = Optional.of(traffic.schedule(this::update, earliestNanos, TimeUnit.NANOSECONDS));
        }
    }
}
