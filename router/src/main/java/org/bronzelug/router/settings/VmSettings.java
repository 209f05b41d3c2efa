package org.bronzelug.router.settings;

import java.util.List;

/**
 * The settings of one VM, read at its start. Immutable.
 *
 * @param vm name of the VM
 * @param availabilityZone where the VM runs
 * @param callersAddress where the VM serves callers, IP:port
 * @param peersAddress where the VM receives state updates and reads of peers, IP:port
 * @param relayAddress where the VM relays connections of peers to endpoints, IP:port
 * @param seedAddresses addresses where peers may listen; some may be wrong
 * @param fleetStarts whether the whole fleet starts for the first time
 * @param processorCapacity processor time that the VM has, in cores
 * @param bounds bounds of the fleet
 * @param load what the installation states about its behavior under load
 * @param runnerReportMillis interval at which runners renew their entries at the platform
 */
public record VmSettings(
        String vm,
        String availabilityZone,
        String callersAddress,
        String peersAddress,
        String relayAddress,
        List<String> seedAddresses,
        boolean fleetStarts,
        double processorCapacity,
        FleetBounds bounds,
        LoadSettings load,
        long runnerReportMillis) {
    public VmSettings {
        seedAddresses = List.copyOf(seedAddresses);
    }

    /** Written out, since the generated method links several method handles at each start. */
    @Override
    public String toString() {
        return "vm="
                + vm
                + (" availabilityZone=" + availabilityZone)
                + (" callersAddress=" + callersAddress)
                + (" peersAddress=" + peersAddress)
                + (" relayAddress=" + relayAddress)
                + (" seedAddresses=" + seedAddresses)
                + (" fleetStarts=" + fleetStarts)
                + (" processorCapacity=" + processorCapacity)
                + (" " + bounds)
                + (" " + load)
                + (" runnerReportMillis=" + runnerReportMillis);
    }
}
