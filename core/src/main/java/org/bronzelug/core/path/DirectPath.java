package org.bronzelug.core.path;

import java.util.OptionalLong;

/**
 * What a VM knows about its own network path to one endpoint.
 *
 * <p>The path is lost if no direct connection can be opened while another VM can open one. An
 * endpoint that no VM reaches is down, which says nothing about the path.
 *
 * <p>Times are nanoseconds of the local monotonic clock. Not thread-safe.
 */
public final class DirectPath {
    private OptionalLong lostNanos = OptionalLong.empty();
    private boolean silent;
    private OptionalLong connectedNanos = OptionalLong.empty();

    /**
     * Records that only another VM could open a connection.
     *
     * @param noResponse whether the direct connect got no response, so that open connections get
     *     none either; after a refusal they may live on
     * @return whether the path was not known to be lost
     */
    public boolean recordLost(boolean noResponse, long nowNanos) {
        boolean newlyLost = lostNanos.isEmpty();
        if (newlyLost) {
            lostNanos = OptionalLong.of(nowNanos);
            silent = noResponse;
        }
        return newlyLost;
    }

    /**
     * Records that a direct connection was opened.
     *
     * @return whether the path was known to be lost
     */
    public boolean recordConnected(long nowNanos) {
        boolean regained = lostNanos.isPresent();
        lostNanos = OptionalLong.empty();
        connectedNanos = OptionalLong.of(nowNanos);
        return regained;
    }

    /** Returns whether a direct connection was opened after a time. */
    public boolean isConnectedSince(long nanos) {
        return connectedNanos.isPresent() && connectedNanos.getAsLong() - nanos > 0;
    }

    /** Forgets a loss, since the endpoint has left the list. */
    public void reset() {
        lostNanos = OptionalLong.empty();
    }

    public boolean isLost() {
        return lostNanos.isPresent();
    }

    /**
     * Returns whether a connection is silent, since the path was lost to silence and nothing has
     * arrived on the connection since.
     *
     * @param lastReceivedNanos when something last arrived on the connection
     */
    public boolean isSilent(long lastReceivedNanos) {
        return silent && lostNanos.isPresent() && lastReceivedNanos - lostNanos.getAsLong() <= 0;
    }

    /**
     * Returns whether a connection that is kept for further requests may hang, since a path of this
     * VM was lost to silence after something last arrived on it and no direct connection was opened
     * since.
     *
     * @param lastReceivedNanos when something last arrived on the connection
     * @param lastLossNanos when this VM last lost a path to any endpoint to silence; empty if never
     */
    public boolean isDoubtful(long lastReceivedNanos, OptionalLong lastLossNanos) {
        if (lastLossNanos.isEmpty() || lastReceivedNanos - lastLossNanos.getAsLong() > 0) {
            return false;
        }
        return !isConnectedSince(lastLossNanos.getAsLong());
    }
}
