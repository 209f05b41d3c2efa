package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One VM's copy of a token bucket that all VMs draw on, without a message for each request. The
 * bucket holds a team's tokens or the requests that a limited endpoint accepts.
 *
 * <p>Each VM counts what it admits, publishes this usage to its peers, and subtracts both its own
 * and its peers' usage from the bucket. Without this, a team that sends several times its rate
 * through all VMs would get its whole rate on each of them.
 *
 * <p>The peers' usage arrives with a propagation delay. What the VMs admit beyond the bucket's
 * level during that delay is bounded by admitting requests at random: the fraction admitted is such
 * that the amount that peers are expected to admit within the delay is at most what the bucket
 * holds plus a fraction of what accrues meanwhile.
 *
 * <p>An unreachable VM may still admit requests. Each VM therefore uses only the fraction of rate
 * and burst that equals the fraction of VMs that it can reach, itself included; a VM that reaches
 * none of its peers uses one n-th in a fleet of n VMs.
 *
 * <p>Where the installation states how far the rate may be exceeded, {@link #setSlack} lets the VMs
 * admit a part of that slack beyond the level that they know. In a fleet of 89 VMs usage is known
 * up to 1.2 s late; without this, half of the requests rejected in a flood were within the rate.
 *
 * <p>Invariant: the level is a function of rate, burst, reachable fraction and the usage known for
 * the last {@link #WINDOW_NANOS}, so VMs that know the same usage have the same level, in whatever
 * order they received it. Not thread-safe: guarded by its owner. Amounts are tokens, times the
 * local monotonic clock's nanoseconds.
 */
public final class FleetBucket {
    /** Longer than the windows over which compliance with a rate is checked. */
    private static final long WINDOW_NANOS = 10_000_000_000L;

    /** Fraction of what accrues during the propagation delay that may be admitted in advance. */
    private static final double ACCRUING_FRACTION = 0.5;

    /**
     * The same fraction where there is slack. The level that a VM knows excludes what peers have
     * admitted during the last third of the delay, so at 0.5 a team that exceeds its rate gets less
     * than its rate, and at 1 the excess is more than half of the slack.
     */
    private static final double ACCRUING_FRACTION_WITH_SLACK = 0.75;

    /** Fraction of the slack by which one request may exceed the level that this VM knows. */
    private static final double REQUEST_SLACK_FRACTION = 0.5;

    /** Fraction of the slack that is used while a team exceeds its rate. */
    private static final double SUSTAINED_SLACK_FRACTION = 0.25;

    /** Control rounds in a propagation delay. */
    private static final int ROUNDS_PER_DELAY = 3;

    /** Period over which the demand is averaged. */
    private static final long DEMAND_NANOS = 1_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final UsageHistory usage = new UsageHistory(WINDOW_NANOS);
    private final UsageHistory ownDemand = new UsageHistory(DEMAND_NANOS);
    private final UsageHistory peerDemand = new UsageHistory(DEMAND_NANOS);
    private final Map<String, PeerBucketUsage> peers = new HashMap<>();
    private final Map<String, Long> recordedNanos = new HashMap<>();
    private final BucketReturns returns;
    private double rate;
    private double burst;
    private double slack;
    private double reachableFraction = 1;
    private long propagationDelayNanos = 450_000_000L;
    private long admitted;
    private long offered;

    /**
     * @param rate tokens per second over all VMs
     * @param burst maximum level of the bucket
     * @param level initial level
     */
    public FleetBucket(double rate, double burst, double level, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.returns = new BucketReturns(nowNanos);
        if (level < burst) {
            usage.add(burst - level, reachableFraction, nowNanos);
        }
    }

    /**
     * Takes the whole amount or nothing.
     *
     * @param draw random number, uniform in [0, 1); the request is admitted only if the number is
     *     below the fraction of requests to admit
     */
    public boolean tryAcquire(long amount, double draw, long nowNanos) {
        recordDemand(amount, nowNanos);
        double level = level(nowNanos);
        double requestSlack = REQUEST_SLACK_FRACTION * slack * reachableFraction;
        if (level + requestSlack < amount || draw >= admittedFraction(level, nowNanos)) {
            return false;
        }
        charge(amount, nowNanos);
        return true;
    }

    /** Records an amount as demand, whether or not it is admitted. */
    public void recordDemand(long amount, long nowNanos) {
        offered += amount;
        ownDemand.add(amount, reachableFraction, nowNanos);
    }

    /** Returns the demand of this VM and its reachable peers, per second. */
    public double demandRate(long nowNanos) {
        return demandRate(ownDemand, nowNanos) + peerDemandRate(nowNanos);
    }

    /**
     * Returns the peers' demand per second. With slack, the period ends one round ago, since later
     * demand is unknown; without this, half of the demand was missing.
     */
    private double peerDemandRate(long nowNanos) {
        long unknownNanos = slack > 0 ? propagationDelayNanos / ROUNDS_PER_DELAY : 0;
        double sum = peerDemand.sum(DEMAND_NANOS + unknownNanos, nowNanos);
        return sum * NANOS_PER_SECOND / DEMAND_NANOS;
    }

    /** Returns what this VM and its reachable peers have admitted, less refunds, per second. */
    public double usageRate(long nowNanos) {
        return demandRate(usage, nowNanos);
    }

    /**
     * Returns the fraction of the requests to admit: what the bucket holds, divided by the peers'
     * expected demand until their usage arrives.
     */
    private double admittedFraction(double level, long nowNanos) {
        double delaySeconds = propagationDelayNanos / NANOS_PER_SECOND;
        double expected = peerDemandRate(nowNanos) * delaySeconds;
        double accruing = slack > 0 ? ACCRUING_FRACTION_WITH_SLACK : ACCRUING_FRACTION;
        double available =
                level
                        + (accruing * rate * delaySeconds + SUSTAINED_SLACK_FRACTION * slack)
                                * reachableFraction;
        return expected <= available ? 1 : available / expected;
    }

    private static double demandRate(UsageHistory demand, long nowNanos) {
        return demand.sum(DEMAND_NANOS, nowNanos) * NANOS_PER_SECOND / DEMAND_NANOS;
    }

    /** Takes the amount even if the bucket holds less, since the work has already been started. */
    public void charge(long amount, long nowNanos) {
        usage.add(amount, reachableFraction, nowNanos);
        admitted += amount;
    }

    /** Returns an amount to the bucket that was taken for a request that did not run. */
    public void refund(long amount, long nowNanos) {
        usage.add(-amount, reachableFraction, nowNanos);
        admitted -= amount;
    }

    /**
     * Returns the delay after which a rejected request should be retried: the time until the amount
     * has accrued, plus a random part of the time in which the current excess demand would be
     * served; with slack, its place in the order of rejection instead of the random part.
     *
     * <p>Without this, all rejected callers would retry at the same moment, and each VM would admit
     * them before it receives the usage of its peers.
     */
    public long nanosUntil(long amount, double draw, long nowNanos) {
        double accrualRate = Math.max(1, rate * reachableFraction);
        double missing = Math.max(0, Math.min(amount, burst) - level(nowNanos));
        long readyNanos = (long) (missing / accrualRate * NANOS_PER_SECOND);
        double peerRate = peerDemandRate(nowNanos);
        double demand = demandRate(ownDemand, nowNanos) + peerRate;
        double excess = Math.max(0, demand / accrualRate - 1);
        double longestNanos = Math.min(excess, peerRate / accrualRate) * propagationDelayNanos;
        if (slack > 0) {
            double ownRate = Math.max(1, accrualRate * (1 - peerRate / Math.max(1, demand)));
            long ownNanos = (long) (amount / ownRate * NANOS_PER_SECOND);
            return returns.delayNanos(readyNanos, ownNanos, (long) longestNanos, nowNanos);
        }
        return (long) (readyNanos + draw * longestNanos);
    }

    /**
     * Records the usage that an incarnation of a peer has reported since its start.
     *
     * <p>The first report of a peer that has run for longer than this VM lowers this VM's level to
     * the peer's, which accounts for usage from before this VM's start. The first report of a peer
     * that started together with this VM, or of a new incarnation of a known peer, is subtracted in
     * full, and a later report by its increase. Without the full subtraction, when all VMs restart
     * while a team exceeds its rate, each would admit its fraction of a burst before it receives
     * the usage of its peers, and that usage would never be subtracted.
     */
    public void recordPeer(PeerBucketUsage report, long nowNanos) {
        PeerBucketUsage previous = peers.put(report.vm(), report);
        long previousNanos =
                Optional.ofNullable(recordedNanos.put(report.vm(), nowNanos)).orElse(nowNanos);
        boolean isSameIncarnation =
                previous != null && previous.incarnation().equals(report.incarnation());
        if (previous == null && !report.startedTogether()) {
            double excessLevel = level(nowNanos) - report.level();
            if (excessLevel > 0) {
                usage.add(excessLevel, reachableFraction, nowNanos);
            }
            return;
        }
        if (isSameIncarnation) {
            long admittedIncrease = report.admitted() - previous.admitted();
            long offeredIncrease = report.offered() - previous.offered();
            if (slack > 0) {
                long reportNanos = propagationDelayNanos / ROUNDS_PER_DELAY / 2;
                long fromNanos = previousNanos - reportNanos;
                long toNanos = nowNanos - reportNanos;
                usage.addSpread(admittedIncrease, reachableFraction, fromNanos, toNanos);
                peerDemand.addSpread(offeredIncrease, reachableFraction, fromNanos, toNanos);
                return;
            }
            long usedNanos = nowNanos - propagationDelayNanos / 2;
            usage.add(admittedIncrease, reachableFraction, usedNanos);
            peerDemand.add(offeredIncrease, reachableFraction, usedNanos);
        } else {
            usage.add(report.admitted(), reachableFraction, nowNanos);
            peerDemand.add(report.offered(), reachableFraction, nowNanos);
        }
    }

    /**
     * Sets the fraction of the VMs that is reachable, this VM included. The bucket uses the same
     * fraction of its rate and burst.
     *
     * <p>Without this, when the fleet is partitioned while the bucket is full, both sides would
     * spend the burst.
     */
    public void setReachableFraction(double fraction) {
        if (fraction > reachableFraction) {
            usage.raiseReachableFractions(fraction);
        }
        reachableFraction = fraction;
    }

    /** Sets the time until all VMs know the usage that a VM has published. */
    public void setPropagationDelay(long nanos) {
        propagationDelayNanos = nanos;
    }

    /**
     * Sets how many tokens the usage of all VMs may exceed the rate and burst, since VMs know each
     * other's usage with a delay; 0 if no excess is allowed. At most half of it is used on purpose.
     */
    public void setSlack(double tokens) {
        slack = tokens;
    }

    /** Changes the rate and burst; usage so far still counts. */
    public void change(double newRate, double newBurst) {
        rate = newRate;
        burst = newBurst;
    }

    /**
     * Changes the rate and burst, and discards the usage so far.
     *
     * <p>Without this, after the rate falls, usage at the higher rate would count against the lower
     * one for the whole window, and nothing would be admitted for seconds.
     *
     * @param level the level from now on
     */
    public void restart(double newRate, double newBurst, double level, long nowNanos) {
        rate = newRate;
        burst = newBurst;
        usage.clear();
        double used = reachableFraction * newBurst - level;
        if (used > 0) {
            usage.add(used, reachableFraction, nowNanos);
        }
    }

    /** Returns the tokens admitted since the start, less refunds. */
    public long admitted() {
        return admitted;
    }

    /** Returns the tokens demanded since the start, whether or not admitted. */
    public long offered() {
        return offered;
    }

    /** Returns the tokens that accrue per second. */
    public double rate() {
        return rate;
    }

    /** Returns the maximum level of the bucket. */
    public double burst() {
        return burst;
    }

    public double level(long nowNanos) {
        return reachableFraction * usage.level(rate, burst, nowNanos);
    }
}
