package org.bronzelug.router.control;

import java.util.concurrent.TimeUnit;
import org.bronzelug.router.fleet.FleetGossip;

/**
 * The period of this VM's control rounds, in each of which it sends its state to peers.
 *
 * <p>The period grows in a large fleet and while the VM is idle. Without this, VMs of a large fleet
 * spend their processor time on telling each other that nothing has changed. Confined to the
 * control thread.
 */
final class RoundPeriod {
    /**
     * Period in a fleet in which each round reaches all peers. A team's usage is delayed by at most
     * one more such period; at seven times a team's rate, the excess stays within the slack that
     * rates allow.
     */
    private static final int SMALL_FLEET_MILLIS = 150;

    /** Period in a large fleet, in which each round reaches some of the peers in turn. */
    private static final int LARGE_FLEET_MILLIS = 300;

    /** Period in a large fleet while this VM is idle. */
    private static final int IDLE_MILLIS = 600;

    /** A VM is idle after more than this many rounds without requests or orders. */
    private static final int IDLE_ROUNDS = 4;

    /** Rounds until a VM's usage has reached the traffic threads of all VMs. */
    private static final int PROPAGATION_DELAY_ROUNDS = 3;

    private int quietRounds;

    /**
     * Records that a round has passed.
     *
     * @param quiet whether this VM had no requests and gave no orders in it
     */
    void record(boolean quiet) {
        quietRounds = quiet ? quietRounds + 1 : 0;
    }

    /** Returns the milliseconds until the next round. */
    int millis(int fleetSize) {
        if (FleetGossip.isSmall(fleetSize)) {
            return SMALL_FLEET_MILLIS;
        }
        return quietRounds > IDLE_ROUNDS ? IDLE_MILLIS : LARGE_FLEET_MILLIS;
    }

    /** Returns the time until all VMs take the current usage of this VM into account. */
    long propagationDelayNanos(int fleetSize) {
        return TimeUnit.MILLISECONDS.toNanos((long) PROPAGATION_DELAY_ROUNDS * millis(fleetSize));
    }
}
