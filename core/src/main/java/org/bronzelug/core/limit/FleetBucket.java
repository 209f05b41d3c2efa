package org.bronzelug.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One VM's view of a team's token bucket that all VMs draw on without asking each other.
 *
 * <p>Each VM counts what it admits, tells the others, and subtracts what they tell. So the bucket
 * as a whole is exceeded at most by what is admitted while the counts travel. A VM that is silent
 * may go on admitting unheard; while it is, its equal part of the rate is set aside for it, and a
 * VM that hears nobody is left with its own part: the parts add up to the rate whichever way the
 * fleet is cut.
 *
 * <p>Invariant: the level never exceeds the burst. Not thread-safe: guarded by its owner. Amounts
 * are tokens, times the local monotonic clock's nanoseconds.
 */
public final class FleetBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate;
    private double burst;
    private double level;
    private long lastNanos;
    private long admitted;
    private double heardPart = 1;
    private final Map<String, PeerCount> peers = new HashMap<>();

    /**
     * @param rate tokens per second over all VMs
     * @param burst the most that the bucket holds
     * @param level what it holds at first
     */
    public FleetBucket(double rate, double burst, double level, long nowNanos) {
        this.rate = rate;
        this.burst = burst;
        this.level = Math.min(level, burst);
        this.lastNanos = nowNanos;
    }

    /** Takes the whole amount or nothing. */
    public boolean tryTake(long amount, long nowNanos) {
        accrue(nowNanos);
        if (level < amount) {
            return false;
        }
        level -= amount;
        admitted += amount;
        return true;
    }

    /** Gives back what was taken for a request that did not run. */
    public void giveBack(long amount) {
        level = Math.min(burst, level + amount);
        admitted -= amount;
    }

    /** How long until the amount is there, if nobody else takes. */
    public long nanosUntil(long amount, long nowNanos) {
        accrue(nowNanos);
        double missing = Math.max(0, Math.min(amount, burst) - level);
        return (long) (missing / Math.max(1, rate * heardPart) * NANOS_PER_SECOND);
    }

    /**
     * Takes in what an incarnation of a peer has admitted since it started.
     *
     * <p>At the first word of a peer that has run for longer, what it admitted before is in its own
     * level: this VM's falls to that, since a VM that has just started does not know what was
     * admitted before. A peer that started with this VM knows no more than this one, so all that it
     * has admitted is subtracted. The failure this prevents: all VMs restart while a team floods,
     * each admits its part of a burst before it hears the others, and nobody pays for it.
     *
     * @param startedWithThis whether the peer has not run for longer than this VM
     */
    public void recordPeer(
            String vm,
            String incarnation,
            long peerAdmitted,
            double peerLevel,
            boolean startedWithThis,
            long nowNanos) {
        accrue(nowNanos);
        PeerCount before = peers.put(vm, new PeerCount(incarnation, peerAdmitted));
        if (before == null && !startedWithThis) {
            level = Math.min(level, peerLevel);
            return;
        }
        boolean same = before != null && before.incarnation.equals(incarnation);
        long delta = same ? peerAdmitted - before.admitted : peerAdmitted;
        level = Math.min(burst, level - delta);
    }

    /**
     * The part of the VMs that are heard, this one included. The same part of what is in the
     * bucket, of its size and of what accrues is left.
     *
     * <p>The failure this prevents: the fleet is cut in two with a full bucket on both sides, and
     * the burst is spent twice.
     */
    public void setHeardPart(double part, long nowNanos) {
        accrue(nowNanos);
        if (part < heardPart && level > 0) {
            level *= part / heardPart;
        }
        heardPart = part;
    }

    /** Changes the rate and burst from now on. */
    public void change(double newRate, double newBurst, long nowNanos) {
        accrue(nowNanos);
        rate = newRate;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /** Tokens admitted since the start, net of what was given back. */
    public long admitted() {
        return admitted;
    }

    /** The most that the bucket holds. */
    public double burst() {
        return burst;
    }

    public double level(long nowNanos) {
        accrue(nowNanos);
        return level;
    }

    private void accrue(long nowNanos) {
        long elapsed = nowNanos - lastNanos;
        if (elapsed <= 0) {
            return;
        }
        lastNanos = nowNanos;
        level = Math.min(burst * heardPart, level + elapsed / NANOS_PER_SECOND * rate * heardPart);
    }

    /** What was last heard of a peer. */
    private record PeerCount(String incarnation, long admitted) {}
}
