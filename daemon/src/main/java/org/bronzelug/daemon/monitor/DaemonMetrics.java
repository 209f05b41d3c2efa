package org.bronzelug.daemon.monitor;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * The metrics registry of the daemon: counters and timers of the traffic, and gauges derived from
 * them.
 *
 * <p>Metric names contain team names, but never keys. Thread-safe.
 */
@Singleton
public final class DaemonMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final Counter promptTokens = registry.counter("prompt_tokens");
    private final Counter cachedTokens = registry.counter("prompt_tokens_cached");
    private final Counter recomputedTokens = registry.counter("prompt_tokens_recomputed_by_moves");
    private final Timer firstToken = registry.timer("first_token");
    private final Map<String, Timer> firstTokenByTeam = new ConcurrentHashMap<>();

    @Inject
    public DaemonMetrics() {
        registry.register("prefix_hit_rate", (Gauge<Double>) this::prefixHitRate);
        registry.register(
                "worst_team_first_token_p99_ms", (Gauge<Double>) this::worstTeamFirstTokenMillis);
    }

    public MetricRegistry registry() {
        return registry;
    }

    public void countAdmitted(String team) {
        registry.counter("admitted." + team).inc();
    }

    /** Counts a rejection because the team is beyond its rate. */
    public void countOverRate(String team) {
        registry.counter("refused_over_rate." + team).inc();
    }

    /**
     * Counts a rejection because the VM that holds the team's rate is unavailable. Such rejections
     * are counted as wrong, because the team may be within its rate.
     */
    public void countRateUnavailable(String team) {
        registry.counter("refused_within_rate." + team).inc();
    }

    /** Counts a response which says that the action may or may not have run. */
    public void countInDoubt(String team) {
        registry.counter("actions_in_doubt." + team).inc();
    }

    public long admittedCount(String team) {
        return registry.counter("admitted." + team).getCount();
    }

    public long overRateCount(String team) {
        return registry.counter("refused_over_rate." + team).getCount();
    }

    /** Records the time from the arrival of a request to its first chunk. */
    public void recordFirstToken(String team, long nanos) {
        firstToken.update(nanos, TimeUnit.NANOSECONDS);
        firstTokenByTeam
                .computeIfAbsent(team, name -> registry.timer("first_token." + name))
                .update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts the tokens of a prefilled prompt.
     *
     * @param tokens all tokens of the prompt
     * @param cached the tokens of the prompt that the runner had in its cache
     * @param moved whether an earlier attempt has prefilled the prompt already
     */
    public void recordPrefilled(int tokens, int cached, boolean moved) {
        promptTokens.inc(tokens);
        cachedTokens.inc(cached);
        if (moved) {
            recomputedTokens.inc(tokens - (long) cached);
        }
    }

    private double prefixHitRate() {
        long total = promptTokens.getCount();
        return total == 0 ? 0 : (double) cachedTokens.getCount() / total;
    }

    private double worstTeamFirstTokenMillis() {
        double maximum = 0;
        for (Timer timer : firstTokenByTeam.values()) {
            maximum = Math.max(maximum, timer.getSnapshot().get99thPercentile() / 1e6);
        }
        return maximum;
    }
}
