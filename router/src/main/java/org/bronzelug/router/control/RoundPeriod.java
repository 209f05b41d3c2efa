package org.bronzelug.router.control;

import java.util.concurrent.TimeUnit;
import org.bronzelug.router.fleet.FleetGossip;

/**
 * How long this VM's rounds are, in which it sends its state to peers.
 *
 * <p>Answers a large fleet whose VMs spend their processor time on telling each other that nothing
 * has changed. Confined to the control thread.
 */
final class RoundPeriod {
    /**
     * In a fleet that is addressed whole in each round. Counts of a team's tokens travel for at
     * most one such period more; at seven times a team's rate that is within the slack that rates
     * allow.
     */
    private static final int SMALL_FLEET_MILLIS = 150;

    /** In a large fleet, where each peer has its turn. */
    private static final int LARGE_FLEET_MILLIS = 300;

    /** In a large fleet, while this VM has no requests and gives no orders. */
    private static final int IDLE_MILLIS = 600;

    /** Rounds without requests or orders after which a VM is idle. */
    private static final int IDLE_ROUNDS = 4;

    /** Rounds in which a count reaches all VMs and their traffic threads. */
    private static final int PROPAGATION_DELAY_ROUNDS = 3;

    private int quietRounds;

    /**
     * A round has passed.
     *
     * @param quiet whether this VM had no requests and gave no orders in it
     */
    void record(boolean quiet) {
        quietRounds = quiet ? quietRounds + 1 : 0;
    }

    /** Milliseconds until the next round. */
    int millis(int fleetSize) {
        if (FleetGossip.isSmall(fleetSize)) {
            return SMALL_FLEET_MILLIS;
        }
        return quietRounds > IDLE_ROUNDS ? IDLE_MILLIS : LARGE_FLEET_MILLIS;
    }

    /** How long a count of this VM travels until all VMs reckon with it. */
    long propagationDelayNanos(int fleetSize) {
        return TimeUnit.MILLISECONDS.toNanos((long) PROPAGATION_DELAY_ROUNDS * millis(fleetSize));
    }
}
