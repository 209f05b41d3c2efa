package org.bronzelug.router.order;

/**
 * An order to a runner to load weights. Immutable.
 *
 * @param model the model whose weights are to be loaded
 * @param version the version to load
 * @param holder the VM that gives the order, as holder of the order lease
 * @param fence fencing token of the lease
 * @param expectedSequence number of orders that the runner has accepted so far; the runner rejects
 *     an order with another number, such as one that arrives after a newer order
 */
public record LoadOrder(
        String model, long version, String holder, long fence, long expectedSequence) {}
