package org.bronzelug.core.membership;

/**
 * The faults that a modelled fleet goes through.
 *
 * @param restarts whether VMs restart and lose their state
 * @param suspensions whether VMs are suspended and resume later
 * @param partitions whether links between VMs are cut
 * @param platformOutages whether VMs cannot reach the platform at times
 * @param lossPercent percentage of messages that are lost
 * @param frequent whether faults and changes occur many times within one staleness bound
 */
record FleetFaults(
        boolean restarts,
        boolean suspensions,
        boolean partitions,
        boolean platformOutages,
        int lossPercent,
        boolean frequent) {
    boolean any() {
        return restarts || suspensions || partitions || platformOutages || lossPercent > 0;
    }

    static FleetFaults none() {
        return new FleetFaults(false, false, false, false, 0, false);
    }

    /**
     * Restarts and changes that occur many times within one staleness bound, with the platform
     * unreachable most of the time.
     */
    static FleetFaults frequentRestarts() {
        return new FleetFaults(true, false, true, true, 10, true);
    }

    static FleetFaults all() {
        return new FleetFaults(true, true, true, true, 10, false);
    }
}
