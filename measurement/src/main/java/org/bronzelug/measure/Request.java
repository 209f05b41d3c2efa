package org.bronzelug.measure;

import org.bronzelug.core.placement.PrefixChain;

/**
 * A request in a simulation run. Immutable.
 *
 * @param arrivedNanos the time at which the caller sends the request, in virtual time
 * @param teamIndex the position of the team in the profile
 */
record Request(String team, PrefixChain chain, long arrivedNanos, int teamIndex) {}
