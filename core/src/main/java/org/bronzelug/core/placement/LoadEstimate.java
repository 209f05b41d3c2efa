package org.bronzelug.core.placement;

/**
 * One VM's estimate of the load of a runner: the VM's own requests, which it knows at once, and
 * those of the other VMs, which it knows with a delay from the runner's reports.
 *
 * <p>A report counts the requests of all VMs, so the load by the other VMs is the reported load
 * minus this VM's own load at the time of the report. Using the larger of own and reported load
 * instead would ignore the other VMs' queue as soon as this VM sends a few more requests
 * (docs/MEASUREMENTS.md "Rounds").
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class LoadEstimate {
    private double ownTokens;
    private int ownStreams;
    private double peerTokens;
    private int peerStreams;

    /** Records that a request was sent, with the given number of tokens to prefill. */
    public void recordSent(double tokens) {
        ownTokens += tokens;
        ownStreams++;
    }

    /** Records that the prefill of a request is complete. */
    public void recordPrefilled(double tokens) {
        ownTokens -= tokens;
    }

    /** Records that a request has ended. */
    public void recordEnded() {
        ownStreams--;
    }

    /** Records a report of the runner. */
    public void recordReport(double queuedTokens, int runningStreams) {
        peerTokens = Math.max(0, queuedTokens - ownTokens);
        peerStreams = Math.max(0, runningStreams - ownStreams);
    }

    /** Returns the tokens of this VM's requests that are still to be prefilled. */
    public double ownTokens() {
        return Math.max(0, ownTokens);
    }

    public int ownStreams() {
        return ownStreams;
    }

    /** Returns the load by all VMs, for {@link PlacementPolicy}. */
    public RunnerLoad load(String name, String incarnation) {
        return new RunnerLoad(
                name, incarnation, Math.max(0, ownTokens) + peerTokens, ownStreams + peerStreams);
    }
}
