package org.bronzelug.router.fleet;

import org.bronzelug.api.fleet.v1.VmState;

/**
 * The last known state of another VM. Immutable.
 *
 * @param state the VM's last state update
 * @param receivedNanos when it was received, by the local monotonic clock
 */
public record Member(VmState state, long receivedNanos) {}
