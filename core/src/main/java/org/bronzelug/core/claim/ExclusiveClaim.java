package org.bronzelug.core.claim;

import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * One VM's view of a claim that at most one VM may use at a time: a group of teams' rates, or the
 * right to order a pool's runners. The claim is a platform object that names its holder; its
 * version is the fencing number.
 *
 * <p>The failure it guards against: the holder is paused or cut off, another VM takes the claim
 * over, the first wakes and both use it. The symptom is a team with twice its rate or two orders
 * that undo each other. The safeguard: a holder uses the claim only while fresh, so it stops within
 * the freshness limit after the take-over is in force; the next holder waits out that limit, by its
 * own monotonic clock, counted from when a majority confirmed the take-over. No clocks are
 * compared.
 *
 * <p>Not thread-safe: owned by the control thread.
 */
public final class ExclusiveClaim {
    /** Above the freshness limit: for drift between two monotonic clocks. */
    private static final double DRIFT_ALLOWANCE = 1.02;

    private final MemberIdentity self;
    private final long waitNanos;
    private long version;
    private Optional<MemberIdentity> holder = Optional.empty();
    private OptionalLong usableFrom = OptionalLong.empty();
    private boolean firstEver;

    /**
     * @param self this VM
     * @param freshnessLimitNanos the age of knowledge at which every holder stops
     */
    public ExclusiveClaim(MemberIdentity self, long freshnessLimitNanos) {
        this.self = self;
        this.waitNanos = (long) (freshnessLimitNanos * DRIFT_ALLOWANCE);
    }

    /** Takes in the claim's object as now in force here; an older version changes nothing. */
    public void observe(long observedVersion, MemberIdentity observedHolder) {
        if (observedVersion <= version) {
            return;
        }
        version = observedVersion;
        holder = Optional.of(observedHolder);
        usableFrom = OptionalLong.empty();
        firstEver = false;
    }

    /**
     * Notes that this VM itself has committed the version.
     *
     * @param hadHolder whether an earlier version named a holder; without one no wait is due
     */
    public void take(long committedVersion, boolean hadHolder) {
        observe(committedVersion, self);
        if (committedVersion == version) {
            firstEver = !hadHolder;
        }
    }

    /**
     * Notes that a majority has confirmed the version, so that former holders stop from now on.
     *
     * @param confirmedVersion the version that a majority of the VMs knows
     * @param nowNanos the time after the last confirmation arrived
     */
    public void confirm(long confirmedVersion, long nowNanos) {
        if (confirmedVersion == version && heldBySelf() && usableFrom.isEmpty()) {
            usableFrom = OptionalLong.of(firstEver ? nowNanos : nowNanos + waitNanos);
        }
    }

    /**
     * The holder of this version has itself handed the claim over, and so has stopped: no wait is
     * due. Where a newer version is known, another VM has taken the claim and nothing changes.
     */
    public void inherit(long inheritedVersion, MemberIdentity former, long nowNanos) {
        observe(inheritedVersion, former);
        if (inheritedVersion == version) {
            usableFrom = OptionalLong.of(nowNanos);
        }
    }

    /** Whether this VM may use the claim now. */
    public boolean mayUse(long nowNanos, boolean fresh) {
        return fresh && usableFrom.isPresent() && nowNanos >= usableFrom.getAsLong();
    }

    /** Gives the claim up here, for good: it was handed to an heir. */
    public void release() {
        usableFrom = OptionalLong.empty();
        holder = Optional.empty();
    }

    /** Whether this VM holds the claim as the first one ever. */
    public boolean isFirstEver() {
        return firstEver;
    }

    public boolean heldBySelf() {
        return holder.filter(self::equals).isPresent();
    }

    /** Whether this VM is the committed holder, but no majority has confirmed it yet. */
    public boolean isUnconfirmed() {
        return heldBySelf() && usableFrom.isEmpty();
    }

    public Optional<MemberIdentity> holder() {
        return holder;
    }

    /** From when this VM may use the claim, while fresh; empty where it may not. */
    public OptionalLong usableFrom() {
        return usableFrom;
    }

    /** The fencing number; 0 where no VM has held the claim yet. */
    public long version() {
        return version;
    }
}
