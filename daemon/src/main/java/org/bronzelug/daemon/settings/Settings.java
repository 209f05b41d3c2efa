package org.bronzelug.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * The checked settings of one daemon (docs/SETTINGS.md). Immutable.
 *
 * @param vm this VM's name
 * @param availabilityZone where it runs
 * @param listen the addresses it serves on
 * @param advertise where others reach this VM, if not where it listens
 * @param platformUrl of the platform's object API
 * @param seedPeers addresses asked while the platform does not answer
 * @param peerSecretFile with the secret that daemons prove to each other
 * @param operatorSecretFile with the secret that operators present
 * @param limits sizes and times
 */
public record Settings(
        String vm,
        String availabilityZone,
        Listen listen,
        Advertise advertise,
        String platformUrl,
        List<String> seedPeers,
        String peerSecretFile,
        String operatorSecretFile,
        Limits limits) {

    /**
     * Where the daemon listens, as IP number and port; port 0 takes any free one.
     *
     * @param callers for callers and operators
     * @param peers for the other daemons
     * @param monitor for health and metrics
     */
    public record Listen(String callers, String peers, String monitor) {}

    /**
     * Where others reach this VM, as IP number and port; empty: where it listens.
     *
     * @param callers for callers and operators
     * @param peers for the other daemons
     */
    public record Advertise(Optional<String> callers, Optional<String> peers) {}

    /**
     * Sizes and times.
     *
     * @param freshnessMillis the age of the configuration at which the VM stops serving
     * @param probeMillis the time between two rounds of probes
     * @param requestDeadlineMillis until the first chunk, where the caller names none
     * @param runnerSilenceMillis a stream without a chunk for so long is moved
     * @param drainMillis the longest that a graceful stop waits for open requests
     * @param steerMillis how long callers are steered away before requests are refused
     * @param streamsPerRunner streams of this VM on one runner at once
     * @param waitingRequests requests that may wait for a runner
     * @param maximumRequestBytes of one request of a caller
     * @param maximumPeerFrameBytes of one message between daemons
     */
    public record Limits(
            long freshnessMillis,
            long probeMillis,
            long requestDeadlineMillis,
            long runnerSilenceMillis,
            long drainMillis,
            long steerMillis,
            int streamsPerRunner,
            int waitingRequests,
            int maximumRequestBytes,
            int maximumPeerFrameBytes) {}
}
