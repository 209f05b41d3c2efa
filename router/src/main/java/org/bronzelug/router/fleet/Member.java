package org.bronzelug.router.fleet;

import org.bronzelug.api.fleet.v1.VmState;

/**
 * A VM as last heard. Immutable.
 *
 * @param state what it said
 * @param receivedNanos when, by the local monotonic clock
 */
public record Member(VmState state, long receivedNanos) {}
