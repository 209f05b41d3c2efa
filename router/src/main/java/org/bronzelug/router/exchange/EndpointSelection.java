package org.bronzelug.router.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.limit.EndpointLimit;
import org.bronzelug.core.placement.PromptAdmission;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Selects the endpoint for the next attempt of a request, and rejects prompts under overload.
 *
 * <p>Invariant: an endpoint is chosen at most once, until {@link #clearTried}. Confined to the
 * traffic thread.
 */
final class EndpointSelection {
    /** Of the most urgent routes. */
    private static final int HIGHEST_PRIORITY = 0;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TrafficState state;
    private final AdmittedRequest admitted;
    private final Set<String> tried = new HashSet<>();
    private final Set<EndpointState> limited = new HashSet<>();
    private Optional<RunnerChoice> runner = Optional.empty();
    private OptionalLong retryAfterMillis = OptionalLong.empty();
    private Optional<EndpointLimit> taken = Optional.empty();
    private boolean sent;

    EndpointSelection(TrafficState state, AdmittedRequest admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /**
     * The endpoint to send to now, out of whose limit the request is taken; empty where none takes
     * the request.
     */
    Optional<EndpointState> choose(long nowNanos) {
        limited.clear();
        Optional<EndpointState> best = best(nowNanos);
        while (best.isPresent() && !isRejected() && !tryAcquire(best.get(), nowNanos)) {
            limited.add(best.get());
            best = best(nowNanos);
        }
        return best;
    }

    private boolean tryAcquire(EndpointState endpoint, long nowNanos) {
        Optional<EndpointLimit> limit = endpoint.limit().filter(EndpointLimit::isNamed);
        double draw = ThreadLocalRandom.current().nextDouble();
        boolean takes =
                limit.isEmpty()
                        || limit.get()
                                .tryAcquire(size(), hasUnlimitedEndpoint(nowNanos), draw, nowNanos);
        if (takes) {
            taken = limit;
        }
        return takes;
    }

    /** Requests without a prompt are taken to be alike. */
    private long size() {
        return admitted.head().prompt().map(prompt -> (long) prompt.totalTokens()).orElse(1L);
    }

    /** Whether the request can go to an endpoint that has named no limit. */
    private boolean hasUnlimitedEndpoint(long nowNanos) {
        return state.endpoints().acceptingRequests(admitted.pool().orElseThrow().name()).stream()
                .filter(endpoint -> isAllowed(endpoint.entry().id()))
                .filter(endpoint -> !endpoint.isSuspect(nowNanos))
                .filter(endpoint -> !endpoint.isExpectedToReject(nowNanos))
                .anyMatch(endpoint -> endpoint.limit().filter(EndpointLimit::isNamed).isEmpty());
    }

    /** The request did not reach the endpoint that was chosen last. */
    void refund(long nowNanos) {
        taken.ifPresent(limit -> limit.refund(nowNanos));
        taken = Optional.empty();
    }

    /** When one of the endpoints that are at their limits takes one more request. */
    OptionalLong limitRetryMillis(long nowNanos) {
        return limited.stream()
                .flatMap(endpoint -> endpoint.limit().stream())
                .mapToLong(
                        limit ->
                                1
                                        + limit.nanosUntil(
                                                        ThreadLocalRandom.current().nextDouble(),
                                                        nowNanos)
                                                / NANOS_PER_MILLI)
                .min();
    }

    /** Endpoints that would have been chosen but for their limits. */
    Set<EndpointState> limited() {
        return limited;
    }

    private Optional<EndpointState> best(long nowNanos) {
        runner = Optional.empty();
        retryAfterMillis = OptionalLong.empty();
        if (admitted.pool().isEmpty()) {
            return Optional.empty();
        }
        EndpointPool pool = admitted.pool().get();
        Optional<PromptSpec> prompt = admitted.head().prompt();
        if (pool.engine().isEmpty() || prompt.isEmpty()) {
            return state.choice().leastLoadedEndpoint(pool.name(), this::isAllowed, nowNanos);
        }
        runner =
                state.choice()
                        .chooseRunner(
                                pool.name(),
                                prompt.get(),
                                admitted.wall(),
                                this::isAllowed,
                                nowNanos);
        retryAfterMillis = admission();
        return runner.map(RunnerChoice::endpoint);
    }

    /** Whether the request has not been to an endpoint yet, and its limit takes one more. */
    private boolean isAllowed(String id) {
        return !tried.contains(id)
                && limited.stream().noneMatch(endpoint -> endpoint.entry().id().equals(id));
    }

    /** What the last choice rests on, where tokens are generated. */
    Optional<RunnerChoice> runner() {
        return runner;
    }

    /** The retry delay of a prompt that is rejected; one that was sent before never is. */
    OptionalLong retryAfterMillis() {
        return retryAfterMillis;
    }

    private boolean isRejected() {
        return retryAfterMillis.isPresent();
    }

    private OptionalLong admission() {
        boolean begun = sent || admitted.head().lastEventId().isPresent();
        if (begun || runner.isEmpty()) {
            return OptionalLong.empty();
        }
        return PromptAdmission.retryAfterMillis(
                admitted.route().priority() == HIGHEST_PRIORITY,
                admitted.route().goalMillis(),
                state.choice().waitNanos(runner.get()),
                ThreadLocalRandom.current().nextDouble());
    }

    void recordTried(EndpointState endpoint) {
        tried.add(endpoint.entry().id());
        sent = true;
    }

    /** All endpoints may be chosen again, as some time has passed. */
    void clearTried() {
        tried.clear();
    }

    Set<String> tried() {
        return tried;
    }
}
