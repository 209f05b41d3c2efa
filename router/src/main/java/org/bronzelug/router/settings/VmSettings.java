package org.bronzelug.router.settings;

import java.util.List;

/**
 * What one VM is told at its start. Immutable.
 *
 * @param vm its name
 * @param availabilityZone where it runs
 * @param callersAddress where it takes callers, IP:PORT
 * @param peersAddress where it takes peers' datagrams and reads, IP:PORT
 * @param seedAddresses where peers may listen; some may be wrong
 * @param fleetStarts whether the whole fleet starts for the first time
 * @param bounds of the fleet
 */
public record VmSettings(
        String vm,
        String availabilityZone,
        String callersAddress,
        String peersAddress,
        List<String> seedAddresses,
        boolean fleetStarts,
        FleetBounds bounds) {
    public VmSettings {
        seedAddresses = List.copyOf(seedAddresses);
    }
}
