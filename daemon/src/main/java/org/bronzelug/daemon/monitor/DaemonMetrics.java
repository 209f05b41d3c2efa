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
 * The brief's five measures, and what they are made of.
 *
 * <p>Names of teams appear, keys never. Thread-safe.
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
        registry.register("worst_team_first_token_p99_ms", (Gauge<Double>) this::worstTeam);
    }

    public MetricRegistry registry() {
        return registry;
    }

    public void admitted(String team) {
        registry.counter("admitted." + team).inc();
    }

    /** A refusal beyond the team's rate, which is rightful. */
    public void overRate(String team) {
        registry.counter("refused_over_rate." + team).inc();
    }

    /** A refusal although the team may be within its rate: counted as wrongful. */
    public void rateUnavailable(String team) {
        registry.counter("refused_within_rate." + team).inc();
    }

    /** A caller was told that its call may or may not have run. */
    public void inDoubt(String team) {
        registry.counter("actions_in_doubt." + team).inc();
    }

    public long admittedCount(String team) {
        return registry.counter("admitted." + team).getCount();
    }

    public long overRateCount(String team) {
        return registry.counter("refused_over_rate." + team).getCount();
    }

    /** The time from a request's arrival to its first chunk. */
    public void firstToken(String team, long nanos) {
        firstToken.update(nanos, TimeUnit.NANOSECONDS);
        firstTokenByTeam
                .computeIfAbsent(team, name -> registry.timer("first_token." + name))
                .update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * A prompt was prefilled.
     *
     * @param moved whether an earlier attempt had prefilled it already
     */
    public void prefilled(int tokens, int cached, boolean moved) {
        promptTokens.inc(tokens);
        cachedTokens.inc(cached);
        if (moved) {
            recomputedTokens.inc(tokens - (long) cached);
        }
    }

    private double prefixHitRate() {
        long all = promptTokens.getCount();
        return all == 0 ? 0 : (double) cachedTokens.getCount() / all;
    }

    private double worstTeam() {
        double worst = 0;
        for (Timer timer : firstTokenByTeam.values()) {
            worst = Math.max(worst, timer.getSnapshot().get99thPercentile() / 1e6);
        }
        return worst;
    }
}
