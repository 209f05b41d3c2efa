package org.bronzelug.router.exchange;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzelug.core.admission.AdmissionQueue;
import org.bronzelug.core.admission.StopAdmission;
import org.bronzelug.core.placement.PromptPriority;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.core.routing.Route;
import org.bronzelug.core.routing.Team;
import org.bronzelug.core.stream.StreamKey;

/**
 * A request that {@link Forwarder} has admitted, with its routing decision. Immutable.
 *
 * @param head the decoded head of the request
 * @param route the route that the request takes
 * @param team the team whose rate is charged; empty if none is
 * @param tokens the tokens that were taken out of the team's rate
 * @param pool the pool that serves the request; empty if the configuration does not define it
 * @param configurationVersion version of the configuration that the routing decision is based on
 * @param arrivedNanos when the whole request had arrived, by the local monotonic clock
 */
record AdmittedRequest(
        RequestHead head,
        Route route,
        Optional<Team> team,
        long tokens,
        Optional<EndpointPool> pool,
        long configurationVersion,
        long arrivedNanos) {
    /**
     * How long after the caller's deadline the response is awaited. The endpoint knows the deadline
     * and responds by then; its response takes a moment to arrive.
     */
    private static final long DEADLINE_GRACE_MILLIS = 150;

    /** Returns the same request for another pool of its route. */
    AdmittedRequest withPool(EndpointPool other) {
        return new AdmittedRequest(
                head, route, team, tokens, Optional.of(other), configurationVersion, arrivedNanos);
    }

    /** Returns whether the caller resumes a stream of which it has got events. */
    boolean resumesStream() {
        return route.retryPolicy() == RetryPolicy.RESUMABLE && head.lastEventId().isPresent();
    }

    /** Returns the key of the stream that the request begins. */
    StreamKey streamKey() {
        return streamKey(head.id());
    }

    /** Returns the key of the stream that the request resumes; empty if it names none. */
    Optional<StreamKey> resumedStreamKey() {
        return head.resumedRequest().map(this::streamKey);
    }

    private StreamKey streamKey(String requestId) {
        return StreamKey.of(team.map(Team::name), requestId);
    }

    /** Returns when the caller gives up, by the local monotonic clock. */
    long limitNanos() {
        long millis = Math.max(route.timeoutMillis(), head.deadlineMillis().orElse(0));
        return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Returns a name that separates a dedicated team's cache entries; empty for all other teams.
     */
    String cachePartition() {
        return team.filter(Team::dedicated).map(Team::name).orElse("");
    }

    /** Returns the time that the caller gives the request, from its arrival. */
    long callerMillis() {
        return Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(route.timeoutMillis()));
    }

    /** Returns whether the request may be sent, also if this VM stops. */
    boolean isAdmittedBy(StopAdmission stop, long nowNanos) {
        boolean repeatable = route.retryPolicy() != RetryPolicy.AT_MOST_ONCE;
        long timeLimitNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis());
        return stop.admits(route.name(), repeatable, timeLimitNanos, nowNanos);
    }

    /** Returns the rank of the request's team and route, where lower ranks are served first. */
    int urgency() {
        return PromptPriority.of(
                team.map(Team::priority).orElse(OptionalInt.empty()), route.priority());
    }

    /** Returns the work that the request causes, in tokens; the same for all without a prompt. */
    long work() {
        return head.prompt()
                .map(prompt -> Math.max(1L, prompt.totalTokens()))
                .orElse(AdmissionQueue.QUANTUM);
    }

    /** Returns how long a response is awaited after the arrival of the request. */
    long timeoutMillis() {
        OptionalLong deadline = head.deadlineMillis();
        return deadline.isPresent()
                ? Math.min(route.timeoutMillis(), deadline.getAsLong() + DEADLINE_GRACE_MILLIS)
                : route.timeoutMillis();
    }
}
