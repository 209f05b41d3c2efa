package org.bronzelug.router.traffic;

import java.util.Optional;
import org.bronzelug.core.capacity.ConcurrencyKnee;
import org.bronzelug.core.capacity.EndpointSpeed;
import org.bronzelug.core.capacity.Remeasurement;
import org.bronzelug.core.capacity.SmoothedCount;
import org.bronzelug.router.endpoint.EndpointLoad;

/**
 * What placement knows about the work that one endpoint handles: its measured speed, and the other
 * VMs' requests there.
 *
 * <p>Invariant: in pools that are not adaptive, the speed is 1, the other VMs' requests are those
 * that they reported, and nothing is measured. Confined to the traffic thread.
 */
public final class EndpointCapacity {
    private static final double PERCENT = 100;

    private final AdaptivePools adaptivePools;
    private final String pool;
    private final EndpointSpeed speed = new EndpointSpeed();
    private final ConcurrencyKnee knee = new ConcurrencyKnee();
    private final SmoothedCount smoothed = new SmoothedCount();
    private Optional<EndpointLoad> latestLoad = Optional.empty();

    EndpointCapacity(AdaptivePools adaptivePools, String pool) {
        this.adaptivePools = adaptivePools;
        this.pool = pool;
    }

    /** Returns whether decisions about this endpoint adapt to the measured load. */
    boolean isAdaptive() {
        return adaptivePools.reportsWork(pool);
    }

    /** Records that the endpoint has rejected a request, as full ones do. */
    void recordRejection() {
        adaptivePools.recordRejection(pool);
    }

    /** Records the load that the endpoint reports in a response. */
    void recordLoad(EndpointLoad load, long nowNanos) {
        load.workPercent()
                .ifPresent(
                        percent -> {
                            adaptivePools.record(pool);
                            speed.recordWork(percent, nowNanos);
                        });
        latestLoad = Optional.of(load);
    }

    /** Records the speed that a response shows, as a range. */
    void recordSample(double lowest, double highest, long nowNanos) {
        if (isAdaptive()) {
            speed.recordSample(lowest, highest, nowNanos);
        }
    }

    /**
     * Records the duration of a request at the load that the endpoint reported last, which is that
     * of the same response.
     *
     * @param duration the duration relative to the usual one
     * @param slots requests that the endpoint states to serve at the same time; at least 1
     */
    void recordDuration(double duration, int slots, long nowNanos) {
        latestLoad
                .filter(load -> isAdaptive() && load.workPercent().isPresent())
                .ifPresent(
                        load ->
                                knee.record(
                                        load.running(),
                                        slots,
                                        duration * PERCENT / load.workPercent().getAsInt(),
                                        nowNanos));
    }

    /**
     * Returns the number of requests that the endpoint handles well.
     *
     * @param slots requests that the endpoint states to serve at the same time; at least 1
     */
    int slots(int slots) {
        return isAdaptive() ? knee.slots(slots) : slots;
    }

    /** Records what the other VMs report. */
    void setPeers(PeerEndpointUsage usage, long nowNanos) {
        smoothed.record(usage.requests(), nowNanos);
        speed.setPeers(usage.speeds(), nowNanos);
    }

    /** Returns the endpoint's speed relative to its pool. */
    double speed(long nowNanos) {
        return isAdaptive() ? speed.speed(nowNanos) : 1;
    }

    /** Returns whether a request is sent to the endpoint to measure it ({@link Remeasurement}). */
    boolean isRemeasured(double probability, double draw, long nowNanos) {
        return isAdaptive() && Remeasurement.isDue(speed, probability, draw, nowNanos);
    }

    /** Returns the speed that this VM has measured, for its peers; empty if it has none. */
    public Optional<EndpointSpeed.Report> report(long nowNanos) {
        return isAdaptive() ? speed.report(nowNanos) : Optional.empty();
    }

    /** Returns the mean number of the other VMs' requests at the endpoint in the last second. */
    double meanPeerRequests() {
        return smoothed.mean();
    }
}
