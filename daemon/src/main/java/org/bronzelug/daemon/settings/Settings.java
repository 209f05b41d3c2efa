package org.bronzelug.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * The checked settings of one daemon (docs/SETTINGS.md). Immutable.
 *
 * @param vm the name of this VM
 * @param availabilityZone the availability zone in which this VM runs
 * @param listen the addresses on which the daemon listens
 * @param advertise the addresses at which others reach this VM, where they differ from {@code
 *     listen}
 * @param platformUrl the URL of the platform's object API
 * @param seedPeers the addresses of the daemons that this one contacts while the platform is
 *     unreachable
 * @param peerSecretFile the file with the secret that daemons prove to each other
 * @param operatorSecretFile the file with the secret that operators send; empty: no operator is
 *     admitted
 * @param limits limits of sizes, counts and times
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
     * The addresses on which the daemon listens, as {@code IP:port}. Port 0 selects a free port.
     *
     * @param callers the address for callers and operators
     * @param peers the address for the other daemons
     * @param monitor the address for the health check and the metrics
     */
    public record Listen(String callers, String peers, String monitor) {}

    /**
     * The addresses at which others reach this VM, as {@code IP:port}. Where one is empty, the
     * address of {@link Listen} applies.
     *
     * @param callers the address for callers and operators
     * @param peers the address for the other daemons
     */
    public record Advertise(Optional<String> callers, Optional<String> peers) {}

    /**
     * Limits of sizes, counts and times.
     *
     * @param freshnessMillis the age of its configuration above which the VM stops serving
     * @param probeMillis the time between two rounds of probes of the other daemons
     * @param requestDeadlineMillis the time until the first chunk of a stream or the response of an
     *     action, for requests that set no deadline
     * @param runnerSilenceMillis the time without a chunk after which a stream moves to another
     *     runner
     * @param drainMillis the maximum time for which a graceful stop waits for open requests
     * @param steerMillis the time in a graceful stop for which callers are steered to other VMs
     *     before new requests are rejected
     * @param streamsPerRunner the maximum number of concurrent streams of this VM on one runner
     * @param waitingRequests the maximum number of requests that wait for a runner
     * @param maximumRequestBytes the maximum size of one request of a caller
     * @param maximumPeerFrameBytes the maximum size of one frame between daemons
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
