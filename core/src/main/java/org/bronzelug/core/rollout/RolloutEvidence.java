package org.bronzelug.core.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Evidence against a version on trial: a cumulative sum test on each route.
 *
 * <p>Each response of the target version adds the logarithm of its likelihood ratio between two
 * hypotheses: the target version has the current version's rate of bad responses on that route, or
 * a considerably higher one. The sum never falls below 0, so a version that turns bad late is found
 * as soon as one that is bad from the start. Comparing with the current version at the same time
 * and route keeps faults that hit both versions, such as bursts or failing endpoints, from counting
 * against the target version; a test per route finds a version that fails on one route only.
 *
 * <p>Invariant: the evidence depends on the counts only, so VMs that know the same counts reach the
 * same verdict. Confined to one thread.
 */
public final class RolloutEvidence {
    /** Logarithm of the likelihood ratio from which a version counts as bad. */
    private static final double THRESHOLD = 10;

    /** Fraction of the otherwise good responses that a bad version is assumed to spoil. */
    private static final double ADDED_RATE = 0.25;

    /**
     * Bad responses, and responses, of the current version that are assumed in addition to those
     * seen, so that a rate from few responses is not taken for certain.
     */
    private static final double PRIOR_BAD = 1;

    private static final double PRIOR_RESPONSES = 20;

    /** Upper bound of the current version's rate, so that a worse version can be told apart. */
    private static final double MAXIMUM_CURRENT_RATE = 0.6;

    private final Map<String, ResponseCounts> lastCounts = new HashMap<>();
    private final Map<String, Double> sums = new HashMap<>();

    /** Records the counts of one route, which contain all that were recorded before. */
    public void record(String route, ResponseCounts counts) {
        ResponseCounts last = lastCounts.getOrDefault(route, ResponseCounts.NONE);
        long bad = Math.max(0, counts.targetBad() - last.targetBad());
        long good = Math.max(0, counts.target() - last.target() - bad);
        lastCounts.put(route, counts);
        double currentRate =
                Math.min(
                        MAXIMUM_CURRENT_RATE,
                        (counts.currentBad() + PRIOR_BAD) / (counts.current() + PRIOR_RESPONSES));
        double badRate = currentRate + ADDED_RATE * (1 - currentRate);
        double sum =
                sums.getOrDefault(route, 0.0)
                        + bad * Math.log(badRate / currentRate)
                        + good * Math.log((1 - badRate) / (1 - currentRate));
        sums.put(route, Math.max(0, sum));
    }

    /** Returns the greatest sum of any route. */
    public double sum() {
        return sums.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    /** Returns whether the target version counts as bad. */
    public boolean isBad() {
        return sum() >= THRESHOLD;
    }
}
