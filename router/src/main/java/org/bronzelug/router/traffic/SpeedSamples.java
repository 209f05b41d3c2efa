package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.Map;
import org.bronzelug.core.capacity.UsualTime;
import org.bronzelug.core.placement.PrefixChain;

/**
 * Derives samples of the endpoints' speeds from response times, in adaptive pools.
 *
 * <p>A time is compared with the usual one of the same route at the same pool, in relation to the
 * work. The work of a prompt is a range, as this VM does not know what the runner has cached: at
 * least the prompt's own tokens, at most the whole prompt, and what is queued before it.
 *
 * <p>Confined to the traffic thread.
 */
public final class SpeedSamples {
    /** Usual times by pool and route. */
    private final Map<String, Map<String, UsualTime>> usualTimes = new HashMap<>();

    /** Records the response of an endpoint to a request without a prompt. */
    public void recordResponse(
            EndpointState endpoint, String route, long elapsedNanos, long nowNanos) {
        if (!endpoint.capacity().isAdaptive()) {
            return;
        }
        record(endpoint, route, 1, 1, elapsedNanos, nowNanos);
        double usualNanos = usual(endpoint, route).duration();
        int slots = Math.max(1, endpoint.entry().slots());
        endpoint.capacity().recordDuration(elapsedNanos / usualNanos, slots, nowNanos);
    }

    /**
     * Records the time to the first token of a prompt. Ignored if most of the time was probably
     * spent in the runner's queue, which this VM knows with a delay.
     */
    public void recordFirstToken(
            RunnerChoice choice, String route, long elapsedNanos, long nowNanos) {
        PrefixChain chain = choice.chain();
        if (choice.queuedTokens() <= choice.missingTokens()) {
            double queued = Math.max(0, choice.queuedTokens());
            int own = Math.max(1, chain.tokens() - chain.deepestSharedLevel().tokens());
            record(
                    choice.endpoint(),
                    route,
                    queued + own,
                    queued + chain.tokens(),
                    elapsedNanos,
                    nowNanos);
        }
    }

    private void record(
            EndpointState endpoint,
            String route,
            double leastWork,
            double mostWork,
            long elapsedNanos,
            long nowNanos) {
        if (!endpoint.capacity().isAdaptive() || elapsedNanos <= 0) {
            return;
        }
        UsualTime usual = usual(endpoint, route);
        usual.record(elapsedNanos / Math.sqrt(leastWork * mostWork), nowNanos);
        double workPerTime = usual.duration() / elapsedNanos;
        endpoint.capacity().recordSample(leastWork * workPerTime, mostWork * workPerTime, nowNanos);
    }

    private UsualTime usual(EndpointState endpoint, String route) {
        return usualTimes
                .computeIfAbsent(endpoint.entry().pool(), pool -> new HashMap<>())
                .computeIfAbsent(route, name -> new UsualTime());
    }
}
