package org.bronzelug.core.placement;

/**
 * What one VM reckons a runner to be loaded with: its own requests, known at once, and those of the
 * other VMs, known from the runner's reports with a lag.
 *
 * <p>A report counts all VMs' requests, this one's of that moment included; so the others' part is
 * what the report exceeds them by. Taking the greater of own and reported instead forgets the
 * others' queue as soon as this VM sends a little more (docs/MEASUREMENTS.md "Rounds").
 *
 * <p>Not thread-safe: guarded by its owner.
 */
public final class LoadEstimate {
    private double ownTokens;
    private int ownStreams;
    private double othersTokens;
    private int othersStreams;

    /** A request is sent, with so many tokens to prefill. */
    public void begin(double tokens) {
        ownTokens += tokens;
        ownStreams++;
    }

    /** Its prefill is done. */
    public void prefilled(double tokens) {
        ownTokens -= tokens;
    }

    /** It has ended. */
    public void end() {
        ownStreams--;
    }

    /** Takes in a report of the runner. */
    public void report(double queuedTokens, int runningStreams) {
        othersTokens = Math.max(0, queuedTokens - ownTokens);
        othersStreams = Math.max(0, runningStreams - ownStreams);
    }

    /** Tokens that this VM's requests still wait to have prefilled. */
    public double ownTokens() {
        return Math.max(0, ownTokens);
    }

    public int ownStreams() {
        return ownStreams;
    }

    /** The load for a placement. */
    public RunnerLoad load(String name, String incarnation) {
        return new RunnerLoad(
                name,
                incarnation,
                Math.max(0, ownTokens) + othersTokens,
                ownStreams + othersStreams);
    }
}
