package org.bronzelug.core.retry;

/** Why a request is retried, which decides how much of the retry budget it must leave to others. */
public enum RetryKind {
    /** No endpoint serves the request any more; without a retry its response is broken off. */
    RESUMPTION(0, 0),

    /** No endpoint serves the request any more; its caller has received nothing yet. */
    REQUIRED(1, 0),

    /**
     * The request's endpoint would still serve it. Without a limit of their own, streams that leave
     * a runner before it loads weights would use up the budget, and would be broken off if the next
     * runner rejects them.
     */
    OPTIONAL(1, 0.5);

    private final int keptRetries;
    private final double keptFraction;

    RetryKind(int keptRetries, double keptFraction) {
        this.keptRetries = keptRetries;
        this.keptFraction = keptFraction;
    }

    /**
     * Returns what the bucket must hold for a retry of this kind: the retry itself and what it
     * leaves to more urgent kinds, but no more than a full bucket.
     */
    double leastContent(double capacity) {
        double kept = Math.max(keptRetries, keptFraction * capacity);
        return Math.max(1, Math.min(capacity, 1 + kept));
    }
}
