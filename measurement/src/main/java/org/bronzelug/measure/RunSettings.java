package org.bronzelug.measure;

/**
 * The parameters of a simulation run. Immutable.
 *
 * @param profile the simulated deployment and its load
 * @param fault the fault injected in the middle of the run
 * @param flood whether one team sends several times its rate
 * @param seconds the length of the run in virtual time
 * @param streamsPerRunner the maximum number of streams that one VM sends to a runner at once;
 *     further requests wait in the VM's fair queue
 */
record RunSettings(
        Profile profile, Fault fault, boolean flood, int seconds, int streamsPerRunner) {}
