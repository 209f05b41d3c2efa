package org.bronzelug.daemon.control;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.bronzelug.core.membership.MemberIdentity;
import org.bronzelug.daemon.configuration.Catalog;

/**
 * What traffic threads see of the control state. Immutable; replaced as a whole.
 *
 * @param catalog the configuration in force here
 * @param settledSingle whether this VM alone is a majority, so that its knowledge never ages
 * @param freshAsOfNanos everything in force at this time is in the catalog; empty: nothing known
 * @param limitNanos the age at which this VM stops serving
 * @param peers the other VMs of the roster
 * @param heirs who answers for an incarnation that has stopped gracefully
 */
public record ControlView(
        Catalog catalog,
        boolean settledSingle,
        OptionalLong freshAsOfNanos,
        long limitNanos,
        Map<String, PeerView> peers,
        Map<MemberIdentity, String> heirs) {

    /**
     * One other VM.
     *
     * @param identity its newest incarnation; empty where it was never heard of
     * @param peerAddress where daemons reach it
     * @param lastSeenNanos when it lived last
     * @param live whether it was heard of lately
     */
    public record PeerView(
            Optional<MemberIdentity> identity,
            String availabilityZone,
            String callerAddress,
            String peerAddress,
            long lastSeenNanos,
            boolean live,
            boolean draining) {}

    /** Whether the catalog is surely no older than the limit. */
    public boolean isFresh(long nowNanos) {
        return settledSingle
                || freshAsOfNanos.isPresent()
                        && nowNanos - freshAsOfNanos.getAsLong() <= limitNanos;
    }

    /** The peer address of the VM that answers for an incarnation, if it still does. */
    public Optional<String> addressOf(MemberIdentity identity) {
        String heir = heirs.get(identity);
        if (heir != null) {
            return Optional.ofNullable(peers.get(heir)).map(PeerView::peerAddress);
        }
        return Optional.ofNullable(peers.get(identity.vm()))
                .filter(peer -> peer.identity().filter(identity::equals).isPresent())
                .map(PeerView::peerAddress);
    }
}
