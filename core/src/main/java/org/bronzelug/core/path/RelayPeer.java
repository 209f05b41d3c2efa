package org.bronzelug.core.path;

/**
 * Another VM that relays connections to endpoints. Immutable.
 *
 * @param vm name of the VM
 * @param address where it relays connections, IP:port
 * @param lostPaths number of endpoints that it reaches through other VMs only
 */
public record RelayPeer(String vm, String address, int lostPaths) {}
