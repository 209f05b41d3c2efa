package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One VM's view of a team's token bucket that all VMs draw on without asking each other.
 *
 * <p>Answers a team at several times its rate, spread over all VMs. Each VM counts what it admits,
 * tells the others, and subtracts what they tell. What the fleet admits while counts travel is
 * bounded by admitting a random part of the requests, so that the part that is expected to be
 * admitted unheard is what the bucket holds. A VM that is silent may go on admitting; while it is,
 * its equal part of the rate is set aside for it, and a VM that hears nobody is left with its own
 * part.
 *
 * <p>Invariant: the level is a function of the usage known of the last {@link #WINDOW_NANOS}, so
 * VMs that know the same usage have the same level. Not thread-safe: guarded by its owner. Amounts
 * are tokens, times the local monotonic clock's nanoseconds.
 */
public final class FleetBucket {
    /** Longer than the windows over which the users check a rate. */
    private static final long WINDOW_NANOS = 10_000_000_000L;

    /** The part of what accrues while a count travels that may be admitted beforehand. */
    private static final double ACCRUING_PART = 0.5;

    /** Over which the demand is averaged. */
    private static final long DEMAND_NANOS = 1_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final UsageHistory usage = new UsageHistory(WINDOW_NANOS);
    private final UsageHistory ownDemand = new UsageHistory(DEMAND_NANOS);
    private final UsageHistory peerDemand = new UsageHistory(DEMAND_NANOS);
    private final Map<String, PeerBucketUsage> peers = new HashMap<>();
    private double rate;
    private double burst;
    private double reachableFraction = 1;
    private long propagationDelayNanos = 450_000_000L;
    private long admitted;
    private long offered;

    /**
     * @param rate tokens per second over all VMs
     * @param burst the most that the bucket holds
     * @param level what it holds at first
     */
    public FleetBucket(double rate, double burst, double level, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        if (level < burst) {
            usage.add(burst - level, reachableFraction, nowNanos);
        }
    }

    /**
     * Takes the whole amount or nothing.
     *
     * @param draw uniform in [0, 1): decides where only a part of the requests is admitted
     */
    public boolean tryAcquire(long amount, double draw, long nowNanos) {
        offer(amount, nowNanos);
        double level = level(nowNanos);
        if (level < amount || draw >= admittedPart(level, nowNanos)) {
            return false;
        }
        charge(amount, nowNanos);
        return true;
    }

    /** Counts what is asked for, admitted or not. */
    public void offer(long amount, long nowNanos) {
        offered += amount;
        ownDemand.add(amount, reachableFraction, nowNanos);
    }

    /** What all VMs that are heard are asked for in a second. */
    public double demandRate(long nowNanos) {
        return demandRate(ownDemand, nowNanos) + demandRate(peerDemand, nowNanos);
    }

    /**
     * The part of the requests that is admitted: what the bucket holds, of what is expected to be
     * asked of the peers until their counts arrive.
     */
    private double admittedPart(double level, long nowNanos) {
        double delaySeconds = propagationDelayNanos / NANOS_PER_SECOND;
        double expected = demandRate(peerDemand, nowNanos) * delaySeconds;
        double available = level + ACCRUING_PART * rate * reachableFraction * delaySeconds;
        return expected <= available ? 1 : available / expected;
    }

    private static double demandRate(UsageHistory demand, long nowNanos) {
        return demand.sum(DEMAND_NANOS, nowNanos) * NANOS_PER_SECOND / DEMAND_NANOS;
    }

    /** Takes the amount in any case: it is run already. */
    public void charge(long amount, long nowNanos) {
        usage.add(amount, reachableFraction, nowNanos);
        admitted += amount;
    }

    /** Gives back what was taken for a request that did not run. */
    public void refund(long amount, long nowNanos) {
        usage.add(-amount, reachableFraction, nowNanos);
        admitted -= amount;
    }

    /**
     * When a request that was refused may be admitted: once the amount has accrued, and at a random
     * moment of the time in which the present demand would be served.
     *
     * <p>The failure that the random part prevents: all refused callers return at one moment, and
     * each VM admits them before it hears the others.
     *
     * @param draw uniform in [0, 1)
     */
    public long nanosUntil(long amount, double draw, long nowNanos) {
        double accruing = Math.max(1, rate * reachableFraction);
        double missing = Math.max(0, Math.min(amount, burst) - level(nowNanos));
        double others = demandRate(peerDemand, nowNanos);
        double excess = Math.max(0, (demandRate(ownDemand, nowNanos) + others) / accruing - 1);
        double spread = draw * Math.min(excess, others / accruing) * propagationDelayNanos;
        return (long) (missing / accruing * NANOS_PER_SECOND + spread);
    }

    /**
     * Takes in what an incarnation of a peer has admitted since it started.
     *
     * <p>At the first report of a peer that has run for longer, what it admitted before is in its
     * own level: this VM's falls to that, since a VM that has just started does not know what was
     * admitted before. A peer that started with this VM knows no more than this one, so all that it
     * has admitted is subtracted. The failure this prevents: all VMs restart while a team floods,
     * each admits its part of a burst before it hears the others, and nobody pays for it.
     */
    public void recordPeer(PeerBucketUsage count, long nowNanos) {
        PeerBucketUsage before = peers.put(count.vm(), count);
        boolean same = before != null && before.incarnation().equals(count.incarnation());
        if (before == null && !count.startedTogether()) {
            double above = level(nowNanos) - count.level();
            if (above > 0) {
                usage.add(above, reachableFraction, nowNanos);
            }
            return;
        }
        if (same) {
            long usedNanos = nowNanos - propagationDelayNanos / 2;
            usage.add(count.admitted() - before.admitted(), reachableFraction, usedNanos);
            peerDemand.add(count.offered() - before.offered(), reachableFraction, usedNanos);
        } else {
            usage.add(count.admitted(), reachableFraction, nowNanos);
            peerDemand.add(count.offered(), reachableFraction, nowNanos);
        }
    }

    /**
     * The part of the VMs that are heard, this one included. The same part of the bucket's size and
     * of what accrues is left.
     *
     * <p>The failure this prevents: the fleet is cut in two with a full bucket on both sides, and
     * the burst is spent twice.
     */
    public void setReachableFraction(double part) {
        if (part > reachableFraction) {
            usage.raiseParts(part);
        }
        reachableFraction = part;
    }

    /** How long a count travels until all VMs know it. */
    public void setPropagationDelay(long nanos) {
        propagationDelayNanos = nanos;
    }

    /** Changes the rate and burst from now on. */
    public void change(double newRate, double newBurst) {
        rate = newRate;
        burst = newBurst;
    }

    /**
     * Changes the rate and burst, and forgets what was used before.
     *
     * <p>The failure this prevents: the rate falls, what was used at the higher one counts against
     * it for the whole window, and nothing is admitted for seconds.
     *
     * @param level what the bucket holds now
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

    /** Tokens admitted since the start, net of what was given back. */
    public long admitted() {
        return admitted;
    }

    /** Tokens asked for since the start, admitted or not. */
    public long offered() {
        return offered;
    }

    /** What accrues in a second. */
    public double rate() {
        return rate;
    }

    /** The most that the bucket holds. */
    public double burst() {
        return burst;
    }

    public double level(long nowNanos) {
        return reachableFraction * usage.level(rate, burst, nowNanos);
    }
}
