package org.bronzelug.core.rollout;

/**
 * Limits the requests that one VM sends to a version on trial to a fraction of all requests that it
 * sends to the pool, so that the fleet as a whole keeps to that fraction without any exchange
 * between VMs. Answers the load of a rollout whose target version fails.
 *
 * <p>Invariant: at any time, the requests sent to the target version are at most the fraction of
 * all requests sent so far. Confined to one thread.
 */
public final class Exposure {
    /**
     * Part of the permitted fraction that is used. The rest covers retries and requests that are
     * sent but do not arrive.
     */
    private static final double USED_FRACTION = 0.8;

    private final double fraction;
    private long requests;
    private long targetRequests;

    /**
     * @param permittedFraction maximum fraction of the pool's requests, from 0 to 1
     */
    public Exposure(double permittedFraction) {
        this.fraction = permittedFraction * USED_FRACTION;
    }

    /** Returns whether the next request may be sent to the target version. */
    public boolean mayExpose() {
        return targetRequests + 1 <= fraction * (requests + 1);
    }

    /** Records a request that is sent to the pool. */
    public void recordSent(boolean target) {
        requests++;
        if (target) {
            targetRequests++;
        }
    }

    public long targetRequests() {
        return targetRequests;
    }
}
