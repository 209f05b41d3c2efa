package org.bronzelug.router.traffic;

/**
 * The newest weights named for a model. Immutable.
 *
 * @param model its name
 * @param version to be loaded by all runners
 * @param seenNanos when this VM first knew, by its monotonic clock
 */
public record WeightsTarget(String model, long version, long seenNanos) {}
