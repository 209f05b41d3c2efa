package org.bronzelug.router.traffic;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.retry.RetryBudget;
import org.bronzelug.core.retry.RetryKind;
import org.bronzelug.log.EventLog;
import org.bronzelug.log.LogEvent;
import org.bronzelug.router.metrics.RouterMetrics;
import org.bronzelug.router.settings.FleetBounds;

/**
 * This VM's retry budget of each pool, with the counters and log lines from which the fleet's
 * retries in a window can be explained.
 *
 * <p>Invariant: each first attempt, reservation, refusal, release and repeated send is counted
 * once. Confined to the traffic thread; the metrics may be read by any thread.
 */
public final class RetryBudgets {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Minimum time between two log lines on retries that a pool's budget refused. */
    private static final long REFUSAL_LOG_NANOS = NANOS_PER_SECOND;

    private final FleetBounds bounds;
    private final RouterMetrics metrics;
    private final boolean fleetStarts;
    private final long startNanos = System.nanoTime();
    private final Map<String, PoolBudget> pools = new HashMap<>();
    private volatile int vmCount;

    RetryBudgets(FleetBounds bounds, RouterMetrics metrics, boolean fleetStarts) {
        this.fleetStarts = fleetStarts;
        this.bounds = bounds;
        this.metrics = metrics;
        this.vmCount = bounds.leastVms();
        metrics.gauge("retry_slack_share", this::slackShare);
        metrics.gauge("retry_slack_vms", () -> vmCount);
    }

    /** Sets the number of VMs among which the slack is divided. */
    void setVmCount(int vms) {
        int divisor = Math.max(vms, bounds.leastVms());
        if (divisor != vmCount) {
            vmCount = divisor;
            EventLog.info(
                    LogEvent.RETRY_SHARE_CHANGED, "vms=" + divisor + " slackShare=" + slackShare());
        }
    }

    private double slackShare() {
        return RetryBudget.slackShare(bounds.retrySlack(), vmCount);
    }

    /** Records that a request is sent to a pool for the first time. */
    public void recordFirstAttempt(String pool, long nowNanos) {
        PoolBudget budget = budget(pool);
        budget.firstAttempts++;
        metrics.count("first_attempts_" + pool);
        budget.bucket.recordFirstAttempt(bounds.retryRatio(), slackShare(), nowNanos);
    }

    /**
     * Reserves one retry, if this VM's share of the fleet's budget has one left. It must be
     * followed by {@link #recordSent} or {@link #release}.
     */
    public boolean tryReserve(RetryKind kind, String pool, long nowNanos) {
        PoolBudget budget = budget(pool);
        boolean reserved = budget.bucket.tryReserve(kind, slackShare(), nowNanos);
        String suffix = pool + "_" + kind.name().toLowerCase(Locale.ROOT);
        if (reserved) {
            budget.reserved++;
            metrics.count("retries_reserved_" + suffix);
        } else {
            budget.refused++;
            metrics.count("retries_refused_" + suffix);
            logRefusal(kind, pool, budget, nowNanos);
        }
        return reserved;
    }

    private void logRefusal(RetryKind kind, String pool, PoolBudget budget, long nowNanos) {
        if (budget.refused > 1 && nowNanos - budget.loggedNanos < REFUSAL_LOG_NANOS) {
            return;
        }
        budget.loggedNanos = nowNanos;
        EventLog.info(
                LogEvent.RETRY_BUDGET_USED_UP,
                ("pool=" + pool + " kind=" + kind)
                        + (" slackShare=" + slackShare() + " vms=" + vmCount)
                        + (" upMillis=" + (nowNanos - startNanos) / NANOS_PER_MILLI)
                        + (" firstAttempts=" + budget.firstAttempts)
                        + (" reserved=" + budget.reserved + " refused=" + budget.refused));
    }

    /** Returns a reserved retry, since the request did not reach an endpoint. */
    public void release(String pool) {
        PoolBudget budget = budget(pool);
        budget.reserved--;
        metrics.count("retries_released_" + pool);
        budget.bucket.release();
    }

    /** Takes a reserved retry, since the request was written to an endpoint. */
    public void recordSent(String pool) {
        metrics.count("retries_sent_" + pool);
        budget(pool).bucket.recordSent();
    }

    /** Counts a request that was written to another endpoint without a reserved retry. */
    public void recordSentUnreserved(String pool) {
        metrics.count("retries_sent_unreserved_" + pool);
    }

    private PoolBudget budget(String pool) {
        long windowNanos = bounds.retryWindowSeconds() * NANOS_PER_SECOND;
        return pools.computeIfAbsent(
                pool,
                name ->
                        new PoolBudget(
                                new RetryBudget(
                                        windowNanos, fleetStarts, ThreadLocalRandom.current())));
    }

    private static final class PoolBudget {
        private final RetryBudget bucket;
        private long firstAttempts;
        private long reserved;
        private long refused;
        private long loggedNanos;

        private PoolBudget(RetryBudget bucket) {
            this.bucket = bucket;
        }
    }
}
