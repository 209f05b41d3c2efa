package org.bronzelug.measure;

/**
 * What a run is made of. Immutable.
 *
 * @param flood whether one team sends several times its rate
 * @param seconds virtual time
 * @param streamsPerRunner that one VM sends to a runner at once; more wait in its fair queue
 */
record RunSettings(
        Profile profile, Fault fault, boolean flood, int seconds, int streamsPerRunner) {}
