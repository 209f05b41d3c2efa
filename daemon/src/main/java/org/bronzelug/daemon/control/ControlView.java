package org.bronzelug.daemon.control;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.configuration.Catalog;

/**
 * The part of the control state that traffic threads (the threads that serve requests) read.
 * Immutable; replaced as a whole.
 *
 * @param catalog the configuration in force on this VM
 * @param caughtUpSingle whether this VM has caught up and is the only VM of the roster, so that its
 *     configuration never becomes stale
 * @param syncedAsOfNanos the time as of which the catalog is synchronized: it contains all that was
 *     in force then; empty before the first synchronization
 * @param stalenessBoundNanos the staleness bound: the age of the catalog beyond which this VM stops
 *     serving
 * @param peers the other VMs of the roster, by name
 * @param successors the name of the successor of each incarnation that has stopped gracefully
 */
public record ControlView(
        Catalog catalog,
        boolean caughtUpSingle,
        OptionalLong syncedAsOfNanos,
        long stalenessBoundNanos,
        Map<String, PeerView> peers,
        Map<MemberIdentity, String> successors) {

    /**
     * The state of another VM.
     *
     * @param identity its newest incarnation; empty if the VM was never seen
     * @param peerAddress the address at which other daemons reach it
     * @param lastSeenNanos the latest time at which it was known to be live
     * @param live whether it was seen recently
     */
    public record PeerView(
            Optional<MemberIdentity> identity,
            String availabilityZone,
            String callerAddress,
            String peerAddress,
            long lastSeenNanos,
            boolean live,
            boolean draining) {}

    /** Returns whether the catalog is certainly no older than the staleness bound. */
    public boolean isFresh(long nowNanos) {
        return caughtUpSingle
                || syncedAsOfNanos.isPresent()
                        && nowNanos - syncedAsOfNanos.getAsLong() <= stalenessBoundNanos;
    }

    /**
     * Returns the peer address of the VM that owns an incarnation's state: its successor after a
     * graceful shutdown, otherwise the VM itself while it runs this incarnation. Empty if the owner
     * is this VM or there is none.
     */
    public Optional<String> addressOf(MemberIdentity identity) {
        String successor = successors.get(identity);
        if (successor != null) {
            return Optional.ofNullable(peers.get(successor)).map(PeerView::peerAddress);
        }
        return Optional.ofNullable(peers.get(identity.vm()))
                .filter(peer -> peer.identity().filter(identity::equals).isPresent())
                .map(PeerView::peerAddress);
    }
}
