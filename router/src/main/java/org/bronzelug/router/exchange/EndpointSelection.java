package org.bronzelug.router.exchange;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.placement.PromptAdmission;
import org.bronzelug.core.routing.EndpointPool;
import org.bronzelug.router.traffic.EndpointState;
import org.bronzelug.router.traffic.RunnerChoice;
import org.bronzelug.router.traffic.TrafficState;

/**
 * Selects the endpoint for the next attempt of a request, and rejects prompts under overload.
 *
 * <p>Invariant: an endpoint is chosen at most once, until {@link #forgetTried}. Confined to the
 * traffic thread.
 */
final class EndpointSelection {
    /** Of the most urgent routes. */
    private static final int FIRST_RANK = 0;

    private final TrafficState state;
    private final Admitted admitted;
    private final Set<String> tried = new HashSet<>();
    private Optional<RunnerChoice> runner = Optional.empty();
    private boolean sent;

    EndpointSelection(TrafficState state, Admitted admitted) {
        this.state = state;
        this.admitted = admitted;
    }

    /** The endpoint to send to now; empty where none takes the request. */
    Optional<EndpointState> choose(long nowNanos) {
        runner = Optional.empty();
        if (admitted.pool().isEmpty()) {
            return Optional.empty();
        }
        EndpointPool pool = admitted.pool().get();
        Optional<PromptSpec> prompt = admitted.head().prompt();
        if (pool.engine().isEmpty() || prompt.isEmpty()) {
            return state.choice().leastLoaded(pool.name(), this::isAllowed, nowNanos);
        }
        runner =
                state.choice()
                        .byPrefix(
                                pool.name(),
                                prompt.get(),
                                admitted.wall(),
                                this::isAllowed,
                                nowNanos);
        return runner.map(RunnerChoice::endpoint);
    }

    /** Whether the request has not been to an endpoint yet. */
    private boolean isAllowed(String id) {
        return !tried.contains(id);
    }

    /** What the last choice rests on, where tokens are generated. */
    Optional<RunnerChoice> runner() {
        return runner;
    }

    /** The retry delay of a prompt that is rejected; one that was sent before never is. */
    OptionalLong retryAfterMillis() {
        boolean begun = sent || admitted.head().lastEventId().isPresent();
        if (begun || runner.isEmpty()) {
            return OptionalLong.empty();
        }
        return PromptAdmission.retryAfterMillis(
                admitted.route().priority() == FIRST_RANK,
                admitted.route().goalMillis(),
                state.choice().waitNanos(runner.get()),
                ThreadLocalRandom.current().nextDouble());
    }

    void recordTried(EndpointState endpoint) {
        tried.add(endpoint.entry().id());
        sent = true;
    }

    /** All endpoints may be chosen again, as some time has passed. */
    void forgetTried() {
        tried.clear();
    }

    Set<String> tried() {
        return tried;
    }
}
