package org.bronzelug.router.order;

import java.util.Map;
import java.util.OptionalLong;

/**
 * A runner's report of its state. Immutable.
 *
 * @param bornMillis the runner's start time, if it reports one
 * @param busy whether the runner carries out an order
 * @param sequence number of orders that the runner has accepted since its start
 * @param weights loaded version by model
 */
public record RunnerReport(
        OptionalLong bornMillis, boolean busy, long sequence, Map<String, Long> weights) {
    public RunnerReport {
        weights = Map.copyOf(weights);
    }
}
