package org.bronzelug.core.claim;

import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.membership.MemberIdentity;

/**
 * One VM's view of a claim: exclusive ownership, without expiry, of something that at most one VM
 * may use at a time. Examples are a share (a group of teams' rates) and the right to order a pool's
 * runners to load weights.
 *
 * <p>A claim is an object in the platform that names its holder; the version of the object is the
 * fencing token. Invariant: no two VMs use the claim at the same time. A holder uses it only while
 * its configuration is within the staleness bound (see {@link
 * org.bronzelug.core.membership.Freshness}). So it stops within that bound after the acquisition by
 * the next holder is in force. The next holder waits for that bound, and slightly longer because
 * clocks drift, counted on its own monotonic clock from the moment when a majority has confirmed
 * the acquisition. No clocks of two VMs are compared.
 *
 * <p>Without the wait, a holder that is suspended or cut off could resume after another VM has
 * acquired the claim, and both would use it. The symptom is a team that is admitted at twice its
 * rate, or two orders that undo each other.
 *
 * <p>Not thread-safe: confined to the control thread.
 */
public final class ExclusiveClaim {
    /** Multiple of the staleness bound to wait, to allow for drift between two monotonic clocks. */
    private static final double DRIFT_ALLOWANCE = 1.02;

    private final MemberIdentity self;
    private final long waitNanos;
    private long version;
    private Optional<MemberIdentity> holder = Optional.empty();
    private OptionalLong usableFrom = OptionalLong.empty();
    private boolean firstHolder;

    /**
     * @param self this VM
     * @param stalenessBoundNanos the age of its configuration at which every holder stops using the
     *     claim
     */
    public ExclusiveClaim(MemberIdentity self, long stalenessBoundNanos) {
        this.self = self;
        this.waitNanos = (long) (stalenessBoundNanos * DRIFT_ALLOWANCE);
    }

    /**
     * Records the version and holder that the claim's object, as now in force on this VM, names.
     * Ignored unless the version is newer than the one known.
     */
    public void observe(long observedVersion, MemberIdentity observedHolder) {
        if (observedVersion <= version) {
            return;
        }
        version = observedVersion;
        holder = Optional.of(observedHolder);
        usableFrom = OptionalLong.empty();
        firstHolder = false;
    }

    /**
     * Records that this VM itself has committed the version.
     *
     * @param hadPreviousHolder whether an earlier version named a holder; if not, this VM need not
     *     wait
     */
    public void recordAcquisition(long committedVersion, boolean hadPreviousHolder) {
        observe(committedVersion, self);
        if (committedVersion == version) {
            firstHolder = !hadPreviousHolder;
        }
    }

    /**
     * Records that a majority has confirmed the version. From now on, previous holders stop within
     * the staleness bound.
     *
     * @param confirmedVersion the version that a majority of the roster holds
     * @param nowNanos the time after the last confirmation arrived
     */
    public void confirm(long confirmedVersion, long nowNanos) {
        if (confirmedVersion == version && heldBySelf() && usableFrom.isEmpty()) {
            usableFrom = OptionalLong.of(firstHolder ? nowNanos : nowNanos + waitNanos);
        }
    }

    /**
     * Records that the holder of the version has transferred the claim to this VM and has stopped
     * using it, so that this VM need not wait. Ignored if a newer version is known, since then
     * another VM has acquired the claim.
     */
    public void acceptTransfer(
            long transferredVersion, MemberIdentity previousHolder, long nowNanos) {
        observe(transferredVersion, previousHolder);
        if (transferredVersion == version) {
            usableFrom = OptionalLong.of(nowNanos);
        }
    }

    /**
     * Returns whether this VM may use the claim now.
     *
     * @param fresh whether this VM's configuration is within the staleness bound
     */
    public boolean mayUse(long nowNanos, boolean fresh) {
        return fresh && usableFrom.isPresent() && nowNanos >= usableFrom.getAsLong();
    }

    /** Stops using the claim for good, after this VM has transferred it to a successor. */
    public void release() {
        usableFrom = OptionalLong.empty();
        holder = Optional.empty();
    }

    /** Returns whether this VM is the first holder that the claim ever had. */
    public boolean isFirstHolder() {
        return firstHolder;
    }

    public boolean heldBySelf() {
        return holder.filter(self::equals).isPresent();
    }

    /** Returns whether this VM is the committed holder, but no majority has confirmed that yet. */
    public boolean isUnconfirmed() {
        return heldBySelf() && usableFrom.isEmpty();
    }

    public Optional<MemberIdentity> holder() {
        return holder;
    }

    /**
     * Returns the time from which this VM may use the claim while its configuration is fresh; empty
     * if it may not use it.
     */
    public OptionalLong usableFrom() {
        return usableFrom;
    }

    /** Returns the fencing token; 0 if no VM has held the claim yet. */
    public long version() {
        return version;
    }
}
