package org.bronzelug.router.order;

import java.util.Map;
import java.util.OptionalLong;

/**
 * What a runner says of itself. Immutable.
 *
 * @param bornMillis when it started, where it says so
 * @param busy whether an order is under way
 * @param sequence orders that it has taken since its start
 * @param weights version by model
 */
public record RunnerReport(
        OptionalLong bornMillis, boolean busy, long sequence, Map<String, Long> weights) {
    public RunnerReport {
        weights = Map.copyOf(weights);
    }
}
