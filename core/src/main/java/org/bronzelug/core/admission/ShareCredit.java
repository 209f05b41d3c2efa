package org.bronzelug.core.admission;

/**
 * Limits what one VM sends of the teams beyond their fair share under overload.
 *
 * <p>VMs know each other's requests late. If each sent what fits into a queue as last reported, all
 * together would send several times that. Each arriving request of these teams adds the fraction of
 * its work for which there is room ({@link FairShares#admittedFraction}), so that all VMs together
 * send as much as there is room for.
 *
 * <p>Invariant: the credit is at most one request more than is sent. Not thread-safe: guarded by
 * its owner.
 */
public final class ShareCredit {
    /** More than all is admitted while earlier requests wait, up to this multiple. */
    private static final double MAXIMUM_FRACTION = 3;

    private double credit;

    /** Records that a request has arrived. */
    public void recordArrival(long work, double admittedFraction) {
        credit = Math.min(work, credit + work * Math.min(MAXIMUM_FRACTION, admittedFraction));
    }

    /** Returns whether there is any credit; the last request may exceed it. */
    public boolean isAvailable() {
        return credit > 0;
    }

    /** Records that a request was sent. */
    public void recordSent(long work) {
        credit -= work;
    }
}
