package org.bronzelug.core.membership;

/** Which faults a modelled fleet meets. */
record FleetFaults(
        boolean restarts,
        boolean pauses,
        boolean cuts,
        boolean platformOutages,
        int lossPercent,
        boolean frequent) {
    boolean any() {
        return restarts || pauses || cuts || platformOutages || lossPercent > 0;
    }

    static FleetFaults none() {
        return new FleetFaults(false, false, false, false, 0, false);
    }

    /** Restarts and changes many times within one freshness limit, the platform mostly away. */
    static FleetFaults frequentRestarts() {
        return new FleetFaults(true, false, true, true, 10, true);
    }

    static FleetFaults all() {
        return new FleetFaults(true, true, true, true, 10, false);
    }
}
