package org.bronzelug.router.traffic;

import java.util.concurrent.ThreadLocalRandom;
import org.bronzelug.core.limit.OccupancyEstimate;
import org.bronzelug.core.limit.RejectionAllowance;
import org.bronzelug.router.endpoint.EndpointResponse;

/**
 * Decides whether this VM may send a request to an endpoint that fails if it has to reject too
 * many: the endpoint has room, or this VM may be rejected once more. Confined to the traffic
 * thread.
 */
public final class RejectionRisk {
    private final OccupancyEstimate occupancy = new OccupancyEstimate();
    private final RejectionAllowance allowance =
            new RejectionAllowance(() -> ThreadLocalRandom.current().nextLong());

    void recordResponse(EndpointResponse response, long nowNanos) {
        response.load()
                .ifPresent(load -> occupancy.recordLoad(load.running(), load.waiting(), nowNanos));
        if (response.notExecuted() && response.isServerError()) {
            occupancy.recordRejection(nowNanos);
            allowance.recordRejection(nowNanos);
        }
    }

    /**
     * Returns whether a request may be sent, and takes a part of the allowance if it may be
     * rejected.
     *
     * @param inFlight requests of all VMs that are known to be in flight at the endpoint
     * @param slots requests that the endpoint serves at the same time
     * @param perSecond rejections in a second that the endpoint withstands
     * @param vms number of VMs that send requests to it
     */
    boolean tryTake(int inFlight, int slots, double perSecond, int vms, long nowNanos) {
        return !occupancy.mayBeFull(inFlight, slots, nowNanos)
                || allowance.tryTake(perSecond, vms, nowNanos);
    }

    /** Returns the time until this VM may again send a request that may be rejected. */
    public long nanosUntilNextWindow(long nowNanos) {
        return allowance.nanosUntilNextWindow(nowNanos);
    }
}
