package org.bronzelug.router.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.routing.EndpointEntry;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.core.routing.RetryPolicy;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Selects the endpoint for the next attempt of a request, and rejects prompts under overload.
 *
 * <p>{@link #choose} takes the best endpoint of {@link org.bronzelug.router.traffic.EndpointChoice}
 * and charges the request to the limit that the endpoint advertises. If the limit admits no more
 * requests, or the endpoint would fail by rejecting too many and may be full, the next best
 * endpoint is considered. A prompt whose estimated queue delay is too long for its goal is rejected
 * instead; {@link #retryAfterMillis} is then present.
 *
 * <p>Invariants: an endpoint that was tried is not chosen again until {@link #clearTried}. A prompt
 * that was sent once is never rejected for overload. A stream continues at no other software
 * version than the one that it is bound to, and begins at one that the platform does not keep yet
 * only if no other endpoint accepts it. Confined to the traffic thread.
 */
final class EndpointSelection {
    /** Retry delay if no endpoint is available; a runner is back or replaced within a second. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 250;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final StreamVersion streamVersion;
    private final PartGate gate;
    private final EligibleEndpoints eligible;
    private final OverloadCheck overload;
    private final Set<String> tried = new HashSet<>();
    private final Set<EndpointState> limited = new HashSet<>();
    private final Set<EndpointState> fragile = new HashSet<>();
    private final Set<String> unhealthy = new HashSet<>();
    private Optional<RunnerChoice> runner = Optional.empty();
    private OptionalLong retryAfterMillis = OptionalLong.empty();
    private Optional<EndpointLimit> chargedLimit = Optional.empty();
    private boolean sentBefore;
    private boolean storedVersionsOnly;

    EndpointSelection(
            TrafficState state,
            AdmittedRequest admitted,
            StreamVersion streamVersion,
            PartGate gate) {
        this.state = state;
        this.admitted = admitted;
        this.streamVersion = streamVersion;
        this.gate = gate;
        this.overload = new OverloadCheck(state, admitted);
        this.eligible = new EligibleEndpoints(state, admitted, streamVersion);
    }

    /**
     * Chooses the endpoint to send to now, and charges the request to that endpoint's limit. If
     * {@link #retryAfterMillis} is present afterwards, the request must be rejected instead.
     *
     * @return the endpoint; empty if none accepts the request
     */
    Optional<EndpointState> choose(long nowNanos) {
        limited.clear();
        fragile.clear();
        Optional<EndpointState> best = selectBest(nowNanos);
        while (best.isPresent() && !isRejected() && !tryAcquire(best.get(), nowNanos)) {
            limited.add(best.get());
            best = selectBest(nowNanos);
        }
        return best;
    }

    /**
     * Chooses like {@link #choose}, but only among endpoints that are neither suspect nor expected
     * to reject the request.
     */
    Optional<EndpointState> chooseHealthy(long nowNanos) {
        unhealthy.clear();
        state.endpoints().all().stream()
                .filter(
                        endpoint ->
                                endpoint.isSuspect(nowNanos)
                                        || endpoint.isExpectedToReject(nowNanos))
                .forEach(endpoint -> unhealthy.add(endpoint.entry().id()));
        Optional<EndpointState> best = choose(nowNanos);
        unhealthy.clear();
        return best;
    }

    private boolean tryAcquire(EndpointState endpoint, long nowNanos) {
        if (!state.tryRiskRejection(endpoint, nowNanos)) {
            fragile.add(endpoint);
            return false;
        }
        Optional<EndpointLimit> limit = endpoint.limit().filter(EndpointLimit::isAdvertised);
        double draw = ThreadLocalRandom.current().nextDouble();
        boolean acquired =
                limit.isEmpty()
                        || limit.get()
                                .tryAcquire(
                                        requestSize(),
                                        eligible.hasUnlimited(this::isAllowed, nowNanos),
                                        draw,
                                        nowNanos);
        if (acquired) {
            chargedLimit = limit;
        }
        return acquired;
    }

    /** Returns the request's size in tokens; requests without a prompt all have the same size. */
    private long requestSize() {
        return admitted.head().prompt().map(prompt -> (long) prompt.totalTokens()).orElse(1L);
    }

    /**
     * Refunds the last choice to the endpoint's limit, as the request did not reach the endpoint.
     */
    void refund(long nowNanos) {
        chargedLimit.ifPresent(limit -> limit.refund(nowNanos));
        chargedLimit = Optional.empty();
    }

    /** Returns why the last choice found no endpoint, and when one may accept the request. */
    Unavailability unavailability(long nowNanos) {
        if (eligible.isVersionGone()) {
            return Unavailability.versionGone(streamVersion.version().orElseThrow());
        }
        OptionalLong limitMillis = limitRetryMillis(nowNanos);
        if (limitMillis.isPresent()) {
            long unavailableMillis = eligible.retryMillis(limited, nowNanos).orElse(Long.MAX_VALUE);
            long millis = Math.min(limitMillis.getAsLong(), unavailableMillis);
            return fragile.containsAll(limited)
                    ? Unavailability.fragile(millis)
                    : Unavailability.atLimits(millis);
        }
        if (eligible.retryMillis(limited, nowNanos).isEmpty()) {
            return Unavailability.noEndpoint(NO_ENDPOINT_RETRY_MILLIS);
        }
        return eligible.isAnyUnreachable(nowNanos)
                ? Unavailability.unreachable(retryMillis(nowNanos))
                : Unavailability.inBackoff(retryMillis(nowNanos));
    }

    /** Returns the retry delay of a request that is rejected after its last attempt. */
    long retryMillis(long nowNanos) {
        return eligible.retryMillis(limited, nowNanos).orElse(NO_ENDPOINT_RETRY_MILLIS);
    }

    /**
     * Returns the time until one of the endpoints at their limits accepts one more request; empty
     * if the last choice skipped none because of its limit.
     */
    private OptionalLong limitRetryMillis(long nowNanos) {
        return limited.stream()
                .mapToLong(endpoint -> 1 + limitNanos(endpoint, nowNanos) / NANOS_PER_MILLI)
                .min();
    }

    private long limitNanos(EndpointState endpoint, long nowNanos) {
        if (fragile.contains(endpoint)) {
            return endpoint.rejectionRisk().nanosUntilNextWindow(nowNanos);
        }
        double draw = ThreadLocalRandom.current().nextDouble();
        return endpoint.limit().map(limit -> limit.nanosUntil(draw, nowNanos)).orElse(0L);
    }

    /** Returns whether no endpoint can continue the stream, now or after a wait. */
    boolean isVersionGone() {
        return eligible.isVersionGone();
    }

    /** Returns the endpoints that the last choice skipped because of what they advertise. */
    Set<EndpointState> limited() {
        return limited;
    }

    private Optional<EndpointState> selectBest(long nowNanos) {
        if (admitted.pool().isEmpty()) {
            return Optional.empty();
        }
        EndpointPool pool = admitted.pool().get();
        if (streamVersion.version().isPresent()) {
            return eligible.isVersionWithdrawn()
                    ? Optional.empty()
                    : selectBest(pool, this::isAllowedForStream, nowNanos);
        }
        boolean resumable = admitted.route().retryPolicy() == RetryPolicy.RESUMABLE;
        if (resumable && state.origins().versions().hasUnstored(pool.name())) {
            storedVersionsOnly = true;
            Optional<EndpointState> best = selectByRollout(pool, nowNanos);
            storedVersionsOnly = false;
            if (best.isPresent() && !isRejected()) {
                return best;
            }
        }
        return selectByRollout(pool, nowNanos);
    }

    private Optional<EndpointState> selectByRollout(EndpointPool pool, long nowNanos) {
        return switch (state.rollouts().preference(pool.name(), !sentBefore)) {
            case ANY -> selectBest(pool, this::isAllowed, nowNanos);
            case CURRENT_ONLY -> selectBest(pool, this::isAllowedCurrent, nowNanos);
            case TARGET_FIRST -> {
                Optional<EndpointState> target = selectBest(pool, this::isAllowedTarget, nowNanos);
                yield target.isPresent() && !isRejected()
                        ? target
                        : selectBest(pool, this::isAllowedCurrent, nowNanos);
            }
        };
    }

    private Optional<EndpointState> selectBest(
            EndpointPool pool, Predicate<String> allowed, long nowNanos) {
        runner = Optional.empty();
        retryAfterMillis = OptionalLong.empty();
        Optional<PromptSpec> prompt = admitted.head().prompt();
        if (pool.engine().isEmpty() || prompt.isEmpty()) {
            return state.choice().leastLoadedEndpoint(pool.name(), allowed, nowNanos);
        }
        runner = chooseRunner(pool, prompt.get(), allowed, nowNanos);
        retryAfterMillis = overloadRetryMillis(pool, nowNanos);
        return runner.map(RunnerChoice::endpoint);
    }

    /**
     * Chooses the runner for a prompt. A prompt that may crash its runner goes to a runner with the
     * fewest requests, even if another runner has its prefix cached: a crash loses them all.
     */
    private Optional<RunnerChoice> chooseRunner(
            EndpointPool pool, PromptSpec prompt, Predicate<String> allowed, long nowNanos) {
        Optional<RunnerChoice> leastLoaded = Optional.empty();
        if (gate.isSuspected()) {
            Set<String> candidates = withFewestRequests(pool, allowed, nowNanos);
            leastLoaded = chooseAmong(pool, prompt, candidates::contains, nowNanos);
        }
        return leastLoaded.or(() -> chooseAmong(pool, prompt, allowed, nowNanos));
    }

    private Optional<RunnerChoice> chooseAmong(
            EndpointPool pool, PromptSpec prompt, Predicate<String> allowed, long nowNanos) {
        return state.choice()
                .chooseRunner(
                        pool.name(),
                        prompt,
                        admitted.route().goalMillis(),
                        admitted.cachePartition(),
                        allowed,
                        nowNanos);
    }

    /** Returns the ids of the allowed runners that have the fewest requests. */
    private Set<String> withFewestRequests(
            EndpointPool pool, Predicate<String> allowed, long nowNanos) {
        List<EndpointState> usable =
                state.endpoints().available(pool.name(), nowNanos).stream()
                        .filter(endpoint -> allowed.test(endpoint.entry().id()))
                        .toList();
        int fewest = usable.stream().mapToInt(EndpointState::requests).min().orElse(0);
        return usable.stream()
                .filter(endpoint -> endpoint.requests() == fewest)
                .map(endpoint -> endpoint.entry().id())
                .collect(Collectors.toSet());
    }

    /** Returns whether the endpoint was neither tried before nor found to be at its limit. */
    private boolean isAllowed(String id) {
        return !tried.contains(id)
                && !unhealthy.contains(id)
                && (!storedVersionsOnly || entry(id).filter(this::isVersionStored).isPresent())
                && limited.stream().noneMatch(endpoint -> endpoint.entry().id().equals(id));
    }

    private boolean isVersionStored(EndpointEntry endpoint) {
        return state.origins().versions().isStored(endpoint.pool(), endpoint.softwareVersion());
    }

    private boolean isAllowedForStream(String id) {
        return isAllowed(id) && entry(id).filter(streamVersion::allows).isPresent();
    }

    private boolean isAllowedCurrent(String id) {
        return isAllowed(id) && entry(id).filter(state.rollouts()::isCurrent).isPresent();
    }

    private boolean isAllowedTarget(String id) {
        return isAllowed(id) && entry(id).filter(state.rollouts()::isTarget).isPresent();
    }

    private Optional<EndpointEntry> entry(String id) {
        return state.endpoints().find(id).map(EndpointState::entry);
    }

    /** Returns the details of the last choice; empty for requests without a prompt. */
    Optional<RunnerChoice> runner() {
        return runner;
    }

    /** Returns the retry delay if the last choice rejected the prompt for overload, else empty. */
    OptionalLong retryAfterMillis() {
        return retryAfterMillis;
    }

    private boolean isRejected() {
        return retryAfterMillis.isPresent();
    }

    private OptionalLong overloadRetryMillis(EndpointPool pool, long nowNanos) {
        boolean begun = sentBefore || admitted.head().lastEventId().isPresent();
        return begun || runner.isEmpty()
                ? OptionalLong.empty()
                : overload.retryAfterMillis(pool, runner.get(), nowNanos);
    }

    void recordTried(EndpointState endpoint) {
        state.rollouts().recordSent(endpoint.entry());
        runner.ifPresent(choice -> overload.recordSent(choice, System.nanoTime()));
        tried.add(endpoint.entry().id());
        sentBefore = true;
    }

    /** Allows all endpoints to be chosen again, since some time has passed. */
    void clearTried() {
        tried.clear();
    }

    Set<String> tried() {
        return tried;
    }
}
